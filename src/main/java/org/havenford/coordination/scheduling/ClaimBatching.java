package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.records.Job;

/**
 * Batches claims while the store is under pressure: plans are made less often, so that one claim takes several tasks of a
 * task range.
 */
final class ClaimBatching {
    /** How often a plan is made under pressure. */
    private static final Duration PLAN_INTERVAL_UNDER_PRESSURE = Duration.ofMillis(500);
    /** Records that are planned for this controller under pressure: more than can be claimed until the next plan. */
    private static final int MAX_TASK_RANGES_UNDER_PRESSURE = 16;
    /** Tasks that one claim of a large job of low priority takes at least, unless it has waited for long. */
    private static final int MIN_LOW_PRIORITY_TASKS = 12;
    /** How long the claims of a large job of low priority may wait for more tasks. */
    private static final Duration MAX_LOW_PRIORITY_DELAY = Duration.ofSeconds(3);

    /** When large jobs of low priority began to wait for more free capacity, by job. */
    private final Map<String, Instant> waitingSince = new HashMap<>();

    /** When the plan after the one of {@code start} may be made. */
    static Instant nextPlan(Instant start, boolean underPressure) {
        return underPressure ? start.plus(PLAN_INTERVAL_UNDER_PRESSURE) : start;
    }

    /** How many task range records this controller can claim until its next plan. */
    static int maxTaskRanges(boolean underPressure) {
        return underPressure ? MAX_TASK_RANGES_UNDER_PRESSURE : Integer.MAX_VALUE;
    }

    /**
     * Whether a claim of a large job of low priority waits a moment, so that it takes more tasks of a task range: capacity
     * comes back task by task, and a transaction for each would keep the store from more urgent work.
     *
     * @param tasks how many tasks the claim would take now
     */
    boolean isDelayed(Job job, int tasks, Instant now) {
        if (job.spec().priority() != JobSpec.Priority.LOW || job.spec().taskCount() <= MIN_LOW_PRIORITY_TASKS) {
            return false;
        }
        Instant since = waitingSince.computeIfAbsent(job.id(), id -> now);
        boolean delayed = tasks < MIN_LOW_PRIORITY_TASKS && now.isBefore(since.plus(MAX_LOW_PRIORITY_DELAY));
        if (!delayed) {
            waitingSince.remove(job.id());
        }
        return delayed;
    }

    /** A job is over. */
    void jobEnded(Job job) {
        waitingSince.remove(job.id());
    }
}
