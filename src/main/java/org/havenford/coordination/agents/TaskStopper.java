package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import org.havenford.coordination.agents.AgentState.Attempt;
import org.havenford.coordination.agents.AgentState.StopReason;
import org.havenford.settings.OperatorSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Marks attempts to be stopped although their claims hold: for lateness, for more urgent work, or because a machine goes. */
final class TaskStopper {
    private static final Logger LOG = LoggerFactory.getLogger(TaskStopper.class);
    /** Part of the time left on a machine that is about to be taken by which an estimate may be exceeded. */
    private static final double ESTIMATE_MARGIN = 1.3;

    private final ClusterState clusterState;
    private final OperatorSettings operatorSettings;
    private long stragglerStops;

    TaskStopper(ClusterState clusterState, OperatorSettings operatorSettings) {
        this.clusterState = clusterState;
        this.operatorSettings = operatorSettings;
    }

    /** How many tasks were stopped for lateness. */
    long stragglerStops() {
        return stragglerStops;
    }

    /** Marks a claim to be stopped for more urgent work; whether it was not marked before. */
    boolean preempt(AgentState machine, Claim claim) {
        if (machine.heartbeat == null || claim.incarnation() != machine.heartbeat.incarnation()) {
            return false;
        }
        Attempt attempt = machine.attempt(claim.task(), claim.attempt());
        if (!attempt.seen || attempt.stopReason != null) {
            return false;
        }
        LOG.info("{} on {} is stopped for more urgent work", claim.task(), claim.machine());
        attempt.stopReason = StopReason.PREEMPTED;
        return true;
    }

    /** The paper's trigger: marks attempts whose fetch is late against the medians of their job. */
    void stopStragglers(AgentState machine, Instant now) {
        if (machine.silentSincePause) {
            // The fetch may be over: nobody has listened.
            return;
        }
        for (Claim claim : clusterState.claimsOn(machine.name).values()) {
            Attempt attempt = machine.attempts.get(claim.task());
            Job job = clusterState.job(claim.task().job());
            if (mayBeLate(attempt, claim, job)) {
                stopStragglers(machine, claim, attempt, job, now);
            }
        }
    }

    /** A running task goes on: what is late there is not restarted. */
    private boolean mayBeLate(Attempt attempt, Claim claim, Job job) {
        boolean fetches = attempt != null
                && attempt.number == claim.attempt()
                && attempt.seen
                && attempt.runStartedAt == null
                && attempt.pullStartedAt != null
                && attempt.stopReason == null;
        int task = claim.task().index();
        return fetches
                && job != null
                && job.doneCount() >= operatorSettings.lateMinimumDone()
                && !job.storedTaskRange(job.taskRangeIndex(task)).wasLate(task);
    }

    private void stopStragglers(AgentState machine, Claim claim, Attempt attempt, Job job, Instant now) {
        Duration fetch = job.medianPull();
        Duration run = job.medianRun();
        if (fetch == null || run == null) {
            return;
        }
        Duration elapsed = Duration.between(attempt.pullStartedAt, now);
        Duration estimate = StragglerDetector.estimateFetching(elapsed, fetch, run);
        double coefficient = StragglerDetector.coefficient(estimate, fetch.plus(run));
        if (coefficient > operatorSettings.lateThreshold()) {
            stragglerStops++;
            LOG.info(
                    "late: {} on {} has fetched for {} (medians {} and {}), p = {}",
                    claim.task(),
                    machine.name,
                    elapsed,
                    fetch,
                    run,
                    coefficient);
            attempt.stopReason = StopReason.STRAGGLER;
        }
    }

    /** On a machine that is about to be taken, marks what can't be done in time, so that it starts elsewhere sooner. */
    void drain(AgentState machine, Instant now) {
        if (machine.noticeUntil == null) {
            return;
        }
        Duration left = Duration.between(now, machine.noticeUntil);
        for (Claim claim : clusterState.claimsOn(machine.name).values()) {
            Attempt attempt = machine.attempts.get(claim.task());
            Job job = clusterState.job(claim.task().job());
            boolean goesOn = attempt != null && attempt.number == claim.attempt() && attempt.stopReason == null;
            if (goesOn && job != null && !endsWithin(left, attempt, job, now)) {
                attempt.stopReason = StopReason.DRAINED;
            }
        }
    }

    private static boolean endsWithin(Duration left, Attempt attempt, Job job, Instant now) {
        Duration run = job.medianRun();
        Duration whole = run == null ? job.spec().estimatedDuration() : run;
        Duration elapsed = attempt.runStartedAt == null ? Duration.ZERO : Duration.between(attempt.runStartedAt, now);
        return whole.minus(elapsed).toMillis() <= left.toMillis() * ESTIMATE_MARGIN;
    }
}
