package org.havenford.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;

/**
 * How long other owners have left task ranges unclaimed that are planned for their machines. An owner that takes too long is
 * passed over for that task range.
 */
final class ForeignOwnerPatience {
    /** How long another owner may leave a planned task unclaimed before its machines are left out of the plan. */
    private static final Duration PATIENCE = Duration.ofMillis(1500);
    /** How long a task range that is no longer planned for others is remembered. */
    private static final Duration REMEMBERED = PATIENCE.multipliedBy(4);

    /** The owner that a task range is planned for, and those that have left it unclaimed. */
    private static final class Wait {
        private final Set<String> passedOver = new HashSet<>();
        private String owner;
        private Instant since;

        void waitFor(String otherOwner, Instant now) {
            if (!otherOwner.equals(owner)) {
                owner = otherOwner;
                since = now;
            } else if (now.isAfter(since.plus(PATIENCE))) {
                passedOver.add(owner);
            }
        }
    }

    private final Object2ObjectOpenHashMap<String, Wait> waitByTaskRange = new Object2ObjectOpenHashMap<>();

    /** Tasks of a task range are planned for machines of another owner. */
    void waitFor(String taskRangeKey, String owner, Instant now) {
        waitByTaskRange.computeIfAbsent(taskRangeKey, key -> new Wait()).waitFor(owner, now);
    }

    /** Whether an owner has left a task range unclaimed for too long. */
    boolean isPassedOver(String taskRangeKey, String owner) {
        Wait wait = waitByTaskRange.get(taskRangeKey);
        return wait != null && wait.passedOver.contains(owner);
    }

    /** Forgets task ranges that are no longer planned for other owners, after a while. */
    void forgetAllBut(Set<String> plannedForOthers, Instant now) {
        waitByTaskRange
                .entrySet()
                .removeIf(entry -> !plannedForOthers.contains(entry.getKey())
                        && now.isAfter(entry.getValue().since.plus(REMEMBERED)));
    }

    void clear() {
        waitByTaskRange.clear();
    }
}
