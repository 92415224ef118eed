package org.havenford.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests that the backoff of a node grows with repeated evictions, is bounded, and is reset after a long time. */
class EvictionBackoffTest {
    private static final Instant START = Instant.EPOCH;

    private final EvictionBackoff backoff = new EvictionBackoff();

    private boolean isInBackoffAt(long seconds) {
        return backoff.isInBackoff("node-1", START.plusSeconds(seconds));
    }

    private void evictAt(long incarnation, long seconds) {
        backoff.recordEviction("node-1", incarnation, START.plusSeconds(seconds));
    }

    @Test
    void neverEvictedNodeIsNotInBackoff() {
        assertFalse(isInBackoffAt(0));
    }

    @Test
    void backoffDoublesWithEachEvictionInShortSuccession() {
        evictAt(1, 0);
        assertTrue(isInBackoffAt(29));
        assertFalse(isInBackoffAt(30));
        evictAt(2, 100);
        assertTrue(isInBackoffAt(159));
        assertFalse(isInBackoffAt(160));
    }

    @Test
    void backoffIsBounded() {
        for (int incarnation = 1; incarnation <= 8; incarnation++) {
            evictAt(incarnation, 0);
        }
        assertTrue(isInBackoffAt(599));
        assertFalse(isInBackoffAt(600));
    }

    @Test
    void backoffIsResetAfterLongTimeWithoutEviction() {
        evictAt(1, 0);
        evictAt(2, 600);
        assertTrue(isInBackoffAt(629));
        assertFalse(isInBackoffAt(630));
    }

    @Test
    void evictionRepeatedInViewIsCountedOnce() {
        evictAt(1, 0);
        evictAt(1, 20);
        assertFalse(isInBackoffAt(30));
    }
}
