package org.havenford.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** A node that is evicted again and again is spared for longer each time. */
class EvictionBackoffTest {
    private static final Instant START = Instant.EPOCH;

    private final EvictionBackoff backoff = new EvictionBackoff();

    private boolean isSparedAt(long seconds) {
        return backoff.isInBackoff("node-1", START.plusSeconds(seconds));
    }

    private void evictAt(long incarnation, long seconds) {
        backoff.recordEviction("node-1", incarnation, START.plusSeconds(seconds));
    }

    @Test
    void aNodeThatWasNeverEvictedIsNotSpared() {
        assertFalse(isSparedAt(0));
    }

    @Test
    void theIntervalDoublesWithEachEvictionThatComesSoon() {
        evictAt(1, 0);
        assertTrue(isSparedAt(29));
        assertFalse(isSparedAt(30));
        evictAt(2, 100);
        assertTrue(isSparedAt(159));
        assertFalse(isSparedAt(160));
    }

    @Test
    void theIntervalHasALimit() {
        for (int incarnation = 1; incarnation <= 8; incarnation++) {
            evictAt(incarnation, 0);
        }
        assertTrue(isSparedAt(599));
        assertFalse(isSparedAt(600));
    }

    @Test
    void theIntervalStartsAnewAfterALongTime() {
        evictAt(1, 0);
        evictAt(2, 600);
        assertTrue(isSparedAt(629));
        assertFalse(isSparedAt(630));
    }

    @Test
    void aViewThatRepeatsAnEvictionDoesNotCountItTwice() {
        evictAt(1, 0);
        evictAt(1, 20);
        assertFalse(isSparedAt(30));
    }
}
