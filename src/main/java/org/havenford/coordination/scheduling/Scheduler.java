package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import org.HdrHistogram.Histogram;
import org.havenford.coordination.agents.AgentManager;
import org.havenford.coordination.jobs.CoordinationContext;
import org.havenford.coordination.jobs.JobCompletion;
import org.havenford.coordination.jobs.JobDependencies;
import org.havenford.coordination.quota.QuotaAllocator;
import org.havenford.settings.OperatorSettings;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;

/**
 * Runs scheduling rounds: each round claims and releases tasks, completes jobs, resolves dependencies and rebalances
 * the controller's shares of the teams' quotas.
 *
 * <p>Every write is conditional on the mod revisions that it was decided on, so a transaction without a response needs
 * no special handling. If it was applied, the next transaction on the same key conflicts and is decided again. If it
 * arrives late, it conflicts with the transaction that was applied before it.
 */
public final class Scheduler {
    /** Upper bound of the recorded round durations, in microseconds; longer rounds are recorded as this value. */
    private static final long MAX_RECORDED_MICROS = 60_000_000L;

    private static final int HISTOGRAM_DIGITS = 2;
    private static final long NANOS_PER_MICRO = 1000;

    private final CoordinationContext context;
    private final Planner planner;
    private final JobDependencies dependencies;
    private final QuotaAllocator quotaAllocator;
    private final TaskClaimer taskClaimer;
    private final TaskReleaser taskReleaser;
    private final JobCompletion jobCompletion;
    private final Histogram roundMicros = new Histogram(MAX_RECORDED_MICROS, HISTOGRAM_DIGITS);

    /** Creates a scheduler over the replica and the store of the given context. */
    public Scheduler(
            CoordinationContext context,
            OperatorSettings operatorSettings,
            AgentManager agentManager,
            JobDependencies dependencies) {
        this.context = context;
        this.dependencies = dependencies;
        planner =
                new Planner(context.clusterState(), context.settings(), operatorSettings, context.membership()::owner);
        quotaAllocator = new QuotaAllocator(
                context.settings(), context.clusterState(), context.replica(), context.membership(), context.writer());
        taskClaimer = new TaskClaimer(context, agentManager, planner, operatorSettings.roundBudget(), quotaAllocator);
        jobCompletion = new JobCompletion(context);
        taskReleaser = new TaskReleaser(context, agentManager, jobCompletion);
    }

    /** Returns the histogram of round durations, in microseconds. */
    public Histogram roundMicros() {
        return roundMicros;
    }

    /**
     * Runs a round. Does nothing before the replica is loaded, while this controller's membership lease does not allow
     * it to act, or while a transaction on the view is unfinished.
     */
    public void step() {
        if (!context.replica().loaded() || !context.membership().mayAnswerAgents()) {
            return;
        }
        Instant start = context.loop().now();
        context.writer().unlockCaughtUpKeys(start);
        if (context.writer().isLocked(Keys.VIEW)) {
            return;
        }
        quotaAllocator.removeResolvedCharges();
        taskClaimer.step(start);
        taskReleaser.step();
        jobCompletion.step();
        dependencies.step();
        jobCompletion.deleteTaskRangesWithoutJob();
        quotaAllocator.rebalance(start);
        long micros = Duration.between(start, context.loop().now()).toNanos() / NANOS_PER_MICRO;
        roundMicros.recordValue(Math.min(MAX_RECORDED_MICROS, micros));
    }

    /** Discards the state kept for a job that has ended. */
    public void jobEnded(Job job) {
        taskClaimer.jobEnded(job);
    }

    /** Discards what was measured or cached before this process was paused. */
    public void processPaused() {
        taskClaimer.processPaused();
        planner.invalidateAllMachines();
    }

    /** Marks the free capacity of a machine as stale after a change of its record, its claims or their outcomes. */
    public void invalidateMachine(String machine) {
        planner.invalidateMachine(machine);
    }

    /** Marks the free capacity of all machines as stale after a change of the view or of the machine types. */
    public void invalidateAllMachines() {
        planner.invalidateAllMachines();
    }
}
