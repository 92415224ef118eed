package org.havenford.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Spares a node that was evicted: it may be evicted again after an interval that doubles with each eviction that comes
 * soon after the one before.
 */
final class EvictionBackoff {
    private static final Duration FIRST_INTERVAL = Duration.ofSeconds(30);
    private static final Duration MAX_INTERVAL = Duration.ofMinutes(10);

    /** When a node was last evicted, and for how long it is spared. */
    private record LastEviction(Instant at, Duration interval) {
        boolean isSparedAt(Instant now) {
            return now.isBefore(at.plus(interval));
        }
    }

    private final Map<String, LastEviction> lastEvictions = new HashMap<>();
    /** The evicted incarnations that were counted, so that a view that repeats one does not count it twice. */
    private final Map<String, Long> countedIncarnations = new HashMap<>();

    /** Counts an eviction that a view names. */
    void evicted(String node, long incarnation, Instant now) {
        Long counted = countedIncarnations.put(node, incarnation);
        if (counted == null || counted != incarnation) {
            lastEvictions.put(node, new LastEviction(now, nextInterval(lastEvictions.get(node), now)));
        }
    }

    private static Duration nextInterval(LastEviction last, Instant now) {
        if (last == null || !now.isBefore(last.at().plus(MAX_INTERVAL))) {
            return FIRST_INTERVAL;
        }
        Duration doubled = last.interval().multipliedBy(2);
        return doubled.compareTo(MAX_INTERVAL) > 0 ? MAX_INTERVAL : doubled;
    }

    /** Whether a node was evicted so lately that it may not be evicted now. */
    boolean isSpared(String node, Instant now) {
        LastEviction last = lastEvictions.get(node);
        return last != null && last.isSparedAt(now);
    }
}
