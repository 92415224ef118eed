package org.havenford.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;

/**
 * Tracks how long other owners leave task ranges unclaimed that are planned for their machines. An owner that takes too
 * long is passed over for that task range.
 */
final class UnclaimedRangeTracker {
    /** How long an owner may leave a planned task range unclaimed before its machines are left out for that range. */
    private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(1500);
    /** How long the state of a task range is kept after the range was first planned for its current owner. */
    private static final Duration RETENTION = CLAIM_TIMEOUT.multipliedBy(4);

    /** The owner that a task range is planned for, and the owners that have left it unclaimed for too long. */
    private static final class Wait {
        private final Set<String> passedOver = new HashSet<>();
        private String owner;
        private Instant since;

        void recordPlanned(String plannedOwner, Instant now) {
            if (!plannedOwner.equals(owner)) {
                owner = plannedOwner;
                since = now;
            } else if (now.isAfter(since.plus(CLAIM_TIMEOUT))) {
                passedOver.add(owner);
            }
        }
    }

    private final Object2ObjectOpenHashMap<String, Wait> waitByTaskRange = new Object2ObjectOpenHashMap<>();

    /** Records that tasks of a task range are planned for machines of another owner. */
    void recordPlanned(String taskRangeKey, String owner, Instant now) {
        waitByTaskRange.computeIfAbsent(taskRangeKey, key -> new Wait()).recordPlanned(owner, now);
    }

    /** Whether an owner has left a task range unclaimed for too long. */
    boolean isPassedOver(String taskRangeKey, String owner) {
        Wait wait = waitByTaskRange.get(taskRangeKey);
        return wait != null && wait.passedOver.contains(owner);
    }

    /** Removes expired task ranges that are no longer planned for other owners. */
    void removeExpired(Set<String> plannedForOthers, Instant now) {
        waitByTaskRange
                .entrySet()
                .removeIf(entry -> !plannedForOthers.contains(entry.getKey())
                        && now.isAfter(entry.getValue().since.plus(RETENTION)));
    }

    void clear() {
        waitByTaskRange.clear();
    }
}
