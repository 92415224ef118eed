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
 * One round of decisions on jobs and tasks: claims, releases, pipelines and shares of the teams' quotas. Every write is
 * guarded by the mod revisions it was decided on. So an unanswered transaction needs no special care: whether it was
 * applied, or comes late, the next one on the same key either fails and is decided again, or has ruled the late one out.
 */
public final class Scheduler {
    /** Longer rounds are recorded as this long, in microseconds. */
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

    /** A scheduler that works on the given context. */
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

    /** Durations of the rounds, in microseconds. */
    public Histogram roundMicros() {
        return roundMicros;
    }

    /** Runs a round, if this controller's lease allows it to act. */
    public void step() {
        if (!context.replica().loaded() || !context.membership().mayAnswerAgents()) {
            return;
        }
        Instant start = context.loop().now();
        context.writer().unlockKeysCaughtUp(start);
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

    /** A job is over. */
    public void jobEnded(Job last) {
        taskClaimer.jobEnded(last);
    }

    /** This process was paused for a while. */
    public void processPaused() {
        taskClaimer.processPaused();
        planner.allChanged();
    }

    /** The machine, its claims or the outcomes of attempts on it have changed. */
    public void machineChanged(String machine) {
        planner.machineChanged(machine);
    }

    /** The view or the machine types have changed. */
    public void allChanged() {
        planner.allChanged();
    }
}
