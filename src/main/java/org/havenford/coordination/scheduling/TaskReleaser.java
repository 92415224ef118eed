package org.havenford.coordination.scheduling;

import com.google.gson.JsonObject;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.havenford.coordination.agents.AgentManager;
import org.havenford.coordination.agents.AttemptOutcome;
import org.havenford.coordination.agents.AttemptOutcomes.TaskRangeOutcomes;
import org.havenford.coordination.jobs.CoordinationContext;
import org.havenford.coordination.jobs.JobCompletion;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.CallPriority;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.FinalState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.TaskRange;

/**
 * Releases the claims of attempts that have ended. Outcomes are batched by task range, so that tasks of a job that end
 * shortly after each other do not need a transaction each.
 */
final class TaskReleaser {
    /** How long outcomes of a task range are batched, and how often batched outcomes are checked for urgent ones. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(500);
    /** Batch delay while the store is under pressure. */
    private static final Duration BATCH_DELAY_UNDER_PRESSURE = Duration.ofSeconds(4);
    /** Batch delay under pressure if the store accepts only few changes per second from each controller. */
    private static final Duration BATCH_DELAY_LOW_WRITE_RATE = Duration.ofSeconds(8);
    /** Factor by which the batch delay of low-priority jobs is longer under pressure. */
    private static final int LOW_PRIORITY_FACTOR = 2;

    private final CoordinationContext context;
    private final AgentManager agentManager;
    private final JobCompletion jobCompletion;
    private final Duration delayUnderPressure;

    TaskReleaser(CoordinationContext context, AgentManager agentManager, JobCompletion jobCompletion) {
        this.context = context;
        this.agentManager = agentManager;
        this.jobCompletion = jobCompletion;
        delayUnderPressure =
                context.settings().hasScarceWrites() ? BATCH_DELAY_LOW_WRITE_RATE : BATCH_DELAY_UNDER_PRESSURE;
    }

    /** Stores the outcomes whose batch delay is over, and those that must not wait for it. */
    void step() {
        boolean underPressure = context.store().underPressure();
        Instant now = context.loop().now();
        for (TaskRangeOutcomes rangeOutcomes : agentManager.outcomes().pendingTaskRanges()) {
            if (!context.writer().isLocked(rangeOutcomes.key())) {
                releaseIfDue(rangeOutcomes, underPressure, now);
            }
        }
    }

    private void releaseIfDue(TaskRangeOutcomes rangeOutcomes, boolean underPressure, Instant now) {
        boolean due = now.isAfter(rangeOutcomes.batchingSince(now).plus(batchDelay(rangeOutcomes, underPressure)));
        boolean dueForCheck = rangeOutcomes.lastCheckedAt() == null
                || now.isAfter(rangeOutcomes.lastCheckedAt().plus(BATCH_DELAY));
        if (!due && !dueForCheck) {
            return;
        }
        agentManager.outcomes().remove(noLongerStored(rangeOutcomes));
        if (!rangeOutcomes.outcomes().isEmpty() && (due || isUrgent(rangeOutcomes.outcomes()))) {
            // If the transaction fails, the outcomes are considered again once the record is no longer locked.
            write(rangeOutcomes.key(), rangeOutcomes.outcomes());
        } else {
            rangeOutcomes.markChecked(now);
        }
    }

    private Duration batchDelay(TaskRangeOutcomes rangeOutcomes, boolean underPressure) {
        if (!underPressure) {
            return BATCH_DELAY;
        }
        boolean low = rangeOutcomes.job().spec().priority() == JobSpec.Priority.LOW;
        return low ? delayUnderPressure.multipliedBy(LOW_PRIORITY_FACTOR) : delayUnderPressure;
    }

    /** Returns the claims that are no longer stored, because they were released by another transaction. */
    private List<Claim> noLongerStored(TaskRangeOutcomes rangeOutcomes) {
        Job job = context.clusterState().job(rangeOutcomes.job().id());
        return rangeOutcomes.outcomes().keySet().stream()
                .filter(claim ->
                        job == null || !claim.equals(job.claim(claim.task().index())))
                .toList();
    }

    private Job jobOf(Map<Claim, AttemptOutcome> outcomes) {
        return context.clusterState()
                .job(outcomes.keySet().iterator().next().task().job());
    }

    /**
     * Whether outcomes are stored without waiting for the batch delay: they are the last ones of a task range whose job
     * has no pending tasks, the job is cancelled, or a task has to be tried again.
     */
    private boolean isUrgent(Map<Claim, AttemptOutcome> outcomes) {
        Job job = jobOf(outcomes);
        TaskRange taskRange = job.storedTaskRange(
                job.taskRangeIndex(outcomes.keySet().iterator().next().task().index()));
        return (taskRange.doneCount() + outcomes.size() == taskRange.size() && job.pendingCount() == 0)
                || job.cancelled()
                || outcomes.values().stream().anyMatch(outcome -> outcome instanceof AttemptOutcome.NotDone);
    }

    /** Applies outcomes to a task range. */
    static void apply(Map<Claim, AttemptOutcome> outcomes, TaskRange taskRange) {
        outcomes.forEach((claim, outcome) -> {
            int task = claim.task().index();
            if (outcome instanceof AttemptOutcome.Done done) {
                taskRange.finish(task, seconds(done.pullDuration()), seconds(done.runDuration()));
            } else {
                taskRange.release(
                        task, outcome == AttemptOutcome.NotDone.STRAGGLER, outcome == AttemptOutcome.NotDone.FAILED);
            }
        });
    }

    /** Converts a duration to seconds as a task range expects it, negative if the duration was not observed. */
    private static double seconds(Duration duration) {
        return duration == null ? -1 : duration.toMillis() / 1e3;
    }

    private void write(String key, Map<Claim, AttemptOutcome> endedNow) {
        // More attempts may end while the transaction is in flight.
        Map<Claim, AttemptOutcome> outcomes = new LinkedHashMap<>(endedNow);
        Job job = jobOf(outcomes);
        int index =
                job.taskRangeIndex(outcomes.keySet().iterator().next().task().index());
        TaskRange updated = job.storedTaskRange(index).copy();
        apply(outcomes, updated);
        Transaction transaction = new Transaction()
                .requireRevision(Keys.VIEW, context.membership().viewRevision())
                .requireRevision(key, context.modRevision(key));
        boolean completesJob = job.taskRangeCount() == 1 && updated.complete() && !job.cancelled();
        List<String> locks = new ArrayList<>(List.of(key));
        Runnable onCompletion = () -> {};
        if (completesJob) {
            String header = Keys.job(job.id());
            transaction.requireRevision(header, context.modRevision(header));
            transaction.delete(key);
            onCompletion = jobCompletion.addCompletion(job, FinalState.Status.DONE, transaction, locks);
        } else {
            JsonObject value = context.encodeTaskRange(updated);
            if (value == null) {
                // The value exceeds the size limit in every form, as the previous version wrote it larger. It fits once
                // more of its tasks have ended.
                return;
            }
            transaction.put(key, value);
        }
        // Users and dependent jobs wait for the end of a job, so the last release is not queued behind all claims.
        boolean isLastRelease = job.pendingCount() == 0 && job.claimCount() == outcomes.size();
        CallPriority priority = isLastRelease ? JobCompletion.commitPriority(job) : CallPriority.WORK;
        Runnable afterRelease = onCompletion;
        context.writer().commit(transaction, priority, locks, () -> {
            agentManager.outcomes().remove(outcomes.keySet());
            afterRelease.run();
        });
    }
}
