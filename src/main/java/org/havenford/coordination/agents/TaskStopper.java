package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import org.havenford.coordination.agents.AttemptState.StopReason;
import org.havenford.settings.OperatorSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Marks attempts to be stopped although their claims hold: stragglers, preempted ones, and those that would not end before
 * their spot machine is taken away.
 */
final class TaskStopper {
    private static final Logger LOG = LoggerFactory.getLogger(TaskStopper.class);
    /** Part of the time left on a machine that is about to be taken away by which an estimate may be exceeded. */
    private static final double ESTIMATE_MARGIN = 1.3;

    private final ClusterState clusterState;
    private final OperatorSettings operatorSettings;
    private long stragglerStops;

    TaskStopper(ClusterState clusterState, OperatorSettings operatorSettings) {
        this.clusterState = clusterState;
        this.operatorSettings = operatorSettings;
    }

    /** How many tasks were stopped as stragglers. */
    long stragglerStops() {
        return stragglerStops;
    }

    /** Marks a claim to be preempted; false if it was marked before or the agent has not shown the attempt yet. */
    boolean preempt(AgentState agent, Claim claim) {
        if (!agent.hasReported() || claim.incarnation() != agent.incarnation()) {
            return false;
        }
        AttemptState attempt = agent.attempt(claim.task(), claim.attempt());
        if (!attempt.isShown() || attempt.isToStop()) {
            return false;
        }
        LOG.info("preempting task: task={} machine={}", claim.task(), claim.machine());
        attempt.stop(StopReason.PREEMPTED);
        return true;
    }

    /** Marks attempts whose image pull is late against the medians of their job, by the trigger of the paper. */
    void stopStragglers(AgentState agent, Instant now) {
        if (agent.isSilentSincePause()) {
            // The pull may be over: nobody has listened.
            return;
        }
        for (Claim claim : clusterState.claimsOn(agent.machine()).values()) {
            AttemptState attempt = agent.knownAttempt(claim.task(), claim.attempt());
            Job job = clusterState.job(claim.task().job());
            if (mayBeStraggler(attempt, claim, job)) {
                stopIfStraggler(claim, attempt, job, now);
            }
        }
    }

    /** A running task goes on: a straggler there is not restarted. */
    private boolean mayBeStraggler(AttemptState attempt, Claim claim, Job job) {
        boolean pulls = attempt != null && attempt.isPulling() && !attempt.isToStop();
        int task = claim.task().index();
        return pulls
                && job != null
                && job.doneCount() >= operatorSettings.stragglerMinimumDone()
                && !job.storedTaskRange(job.taskRangeIndex(task)).wasLate(task);
    }

    private void stopIfStraggler(Claim claim, AttemptState attempt, Job job, Instant now) {
        Duration medianPull = job.medianPull();
        Duration medianRun = job.medianRun();
        if (medianPull == null || medianRun == null) {
            return;
        }
        Duration elapsed = attempt.pullElapsed(now);
        Duration estimate = StragglerDetector.estimatePulling(elapsed, medianPull, medianRun);
        double coefficient = StragglerDetector.coefficient(estimate, medianPull.plus(medianRun));
        if (coefficient > operatorSettings.stragglerThreshold()) {
            stragglerStops++;
            LOG.info(
                    "stopping straggler: task={} machine={} pulling={} medianPull={} medianRun={} coefficient={}",
                    claim.task(),
                    claim.machine(),
                    elapsed,
                    medianPull,
                    medianRun,
                    coefficient);
            attempt.stop(StopReason.STRAGGLER);
        }
    }

    /** On a machine that is about to be taken away, marks what can't be done in time, so that it starts elsewhere sooner. */
    void drain(AgentState agent, Instant now) {
        if (agent.interruptionAt() == null) {
            return;
        }
        Duration left = Duration.between(now, agent.interruptionAt());
        for (Claim claim : clusterState.claimsOn(agent.machine()).values()) {
            AttemptState attempt = agent.knownAttempt(claim.task(), claim.attempt());
            Job job = clusterState.job(claim.task().job());
            boolean goesOn = attempt != null && !attempt.isToStop();
            if (goesOn && job != null && !endsWithin(left, attempt, job, now)) {
                attempt.stop(StopReason.DRAINED);
            }
        }
    }

    private static boolean endsWithin(Duration left, AttemptState attempt, Job job, Instant now) {
        Duration medianRun = job.medianRun();
        Duration estimate = medianRun == null ? job.spec().estimatedDuration() : medianRun;
        return estimate.minus(attempt.runElapsed(now)).toMillis() <= left.toMillis() * ESTIMATE_MARGIN;
    }
}
