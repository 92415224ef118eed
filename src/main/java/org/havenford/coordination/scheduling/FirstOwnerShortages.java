package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Since when the first owners of task ranges have lacked capacity for them. */
final class FirstOwnerShortages {
    /** How long the first owner of a task range may lack capacity before another owner claims some of it. */
    private static final Duration PATIENCE = Duration.ofMillis(1500);

    /** First and last time that a first owner was seen without capacity, in a row. */
    private record Shortage(Instant first, Instant last) {}

    private final Map<String, Shortage> byTaskRange = new HashMap<>();

    /**
     * Notes that the first owner of a task range lacks capacity now; whether it has done so for so long that another owner may
     * claim some of it.
     */
    boolean mayBeClaimedByOthers(String taskRangeKey, Instant now) {
        Shortage before = byTaskRange.get(taskRangeKey);
        Instant first = before == null ? now : before.first();
        byTaskRange.put(taskRangeKey, new Shortage(first, now));
        return now.isAfter(first.plus(PATIENCE));
    }

    /** Forgets shortages that have not been seen for a while. */
    void forgetEnded(Instant now) {
        byTaskRange.values().removeIf(shortage -> shortage.last().isBefore(now.minus(PATIENCE)));
    }

    void clear() {
        byTaskRange.clear();
    }
}
