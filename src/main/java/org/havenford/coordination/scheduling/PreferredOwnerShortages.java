package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Records since when the preferred owners of task ranges have lacked capacity for them. */
final class PreferredOwnerShortages {
    /** How long the preferred owner of a task range may lack capacity before another owner may claim tasks of it. */
    private static final Duration MAX_SHORTAGE = Duration.ofMillis(1500);

    /** First and last time of a period in which a preferred owner repeatedly lacked capacity. */
    private record Shortage(Instant first, Instant last) {}

    private final Map<String, Shortage> byTaskRange = new HashMap<>();

    /**
     * Records that the preferred owner of a task range lacks capacity now.
     *
     * @return whether it has lacked capacity for so long that another owner may claim tasks of the range
     */
    boolean mayBeClaimedByOthers(String taskRangeKey, Instant now) {
        Shortage before = byTaskRange.get(taskRangeKey);
        Instant first = before == null ? now : before.first();
        byTaskRange.put(taskRangeKey, new Shortage(first, now));
        return now.isAfter(first.plus(MAX_SHORTAGE));
    }

    /** Removes shortages that were not recorded again recently. */
    void removeExpired(Instant now) {
        byTaskRange.values().removeIf(shortage -> shortage.last().isBefore(now.minus(MAX_SHORTAGE)));
    }

    void clear() {
        byTaskRange.clear();
    }
}
