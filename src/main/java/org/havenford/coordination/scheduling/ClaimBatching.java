package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.records.Job;

/**
 * Batches claims while the store is under pressure: plans are made less often, so that one transaction claims several
 * tasks of a task range.
 */
final class ClaimBatching {
    /** Interval between plans under pressure. */
    private static final Duration PLAN_INTERVAL_UNDER_PRESSURE = Duration.ofMillis(500);
    /** Task ranges planned for this controller under pressure; more than it can claim until the next plan. */
    private static final int MAX_TASK_RANGES_UNDER_PRESSURE = 16;
    /** Minimum number of tasks in one claim of a large low-priority job, unless the claim was delayed for long. */
    private static final int MIN_LOW_PRIORITY_TASKS = 12;
    /** How long claims of a large low-priority job are delayed at most to include more tasks. */
    private static final Duration MAX_LOW_PRIORITY_DELAY = Duration.ofSeconds(3);

    /** Since when claims of large low-priority jobs have been delayed, by job id. */
    private final Map<String, Instant> waitingSince = new HashMap<>();

    /** Returns the earliest time of the plan that follows the one made at {@code start}. */
    static Instant nextPlan(Instant start, boolean underPressure) {
        return underPressure ? start.plus(PLAN_INTERVAL_UNDER_PRESSURE) : start;
    }

    /** Returns how many task ranges are planned at most for this controller in one plan. */
    static int maxTaskRanges(boolean underPressure) {
        return underPressure ? MAX_TASK_RANGES_UNDER_PRESSURE : Integer.MAX_VALUE;
    }

    /**
     * Whether a claim of a large low-priority job is delayed to include more tasks of its task range. Capacity becomes
     * free one task at a time, and a transaction for each would use up the store's rate limits that more urgent work
     * needs.
     *
     * @param tasks number of tasks that the claim would include now
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

    /** Discards the state kept for a job that has ended. */
    void jobEnded(Job job) {
        waitingSince.remove(job.id());
    }
}
