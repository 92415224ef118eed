package org.havenford.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Exponential backoff between evictions of the same node. After an eviction, the node cannot be evicted again until its
 * backoff has elapsed. The backoff doubles with each eviction that follows the previous one within the maximum backoff.
 */
final class EvictionBackoff {
    private static final Duration INITIAL_BACKOFF = Duration.ofSeconds(30);
    private static final Duration MAX_BACKOFF = Duration.ofMinutes(10);

    /** The time of the last eviction of a node and the backoff that followed it. */
    private record LastEviction(Instant at, Duration backoff) {
        boolean isInBackoffAt(Instant now) {
            return now.isBefore(at.plus(backoff));
        }
    }

    private final Map<String, LastEviction> lastEvictions = new HashMap<>();
    /**
     * The last counted incarnation by node: each view lists the evictions again, and they must not be counted twice.
     */
    private final Map<String, Long> countedIncarnations = new HashMap<>();

    /** Counts an eviction listed in a view, unless it has been counted before. */
    void recordEviction(String node, long incarnation, Instant now) {
        Long counted = countedIncarnations.put(node, incarnation);
        if (counted == null || counted != incarnation) {
            lastEvictions.put(node, new LastEviction(now, nextBackoff(lastEvictions.get(node), now)));
        }
    }

    private static Duration nextBackoff(LastEviction last, Instant now) {
        if (last == null || !now.isBefore(last.at().plus(MAX_BACKOFF))) {
            return INITIAL_BACKOFF;
        }
        Duration doubled = last.backoff().multipliedBy(2);
        return doubled.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : doubled;
    }

    /** Returns whether the backoff of the node's last eviction has not elapsed yet. */
    boolean isInBackoff(String node, Instant now) {
        LastEviction last = lastEvictions.get(node);
        return last != null && last.isInBackoffAt(now);
    }
}
