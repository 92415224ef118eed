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
 * Marks attempts to be stopped although their claims still hold: stragglers, preempted attempts, and attempts that would
 * not finish before their spot machine is reclaimed.
 */
final class TaskStopper {
    private static final Logger LOG = LoggerFactory.getLogger(TaskStopper.class);
    /** An attempt is not drained if its estimated remaining time is at most this multiple of the time left. */
    private static final double REMAINING_TIME_TOLERANCE = 1.3;

    private final ClusterState clusterState;
    private final OperatorSettings operatorSettings;
    private long stragglerStops;

    TaskStopper(ClusterState clusterState, OperatorSettings operatorSettings) {
        this.clusterState = clusterState;
        this.operatorSettings = operatorSettings;
    }

    /** Returns how many attempts were marked as stragglers. */
    long stragglerStops() {
        return stragglerStops;
    }

    /**
     * Marks a claim to be preempted. Returns false if the attempt is already marked to be stopped or the agent's current
     * incarnation has not reported it yet.
     */
    boolean preempt(AgentState agent, Claim claim) {
        if (!agent.hasReported() || claim.incarnation() != agent.incarnation()) {
            return false;
        }
        AttemptState attempt = agent.getOrCreateAttempt(claim.task(), claim.attempt());
        if (!attempt.isReported() || attempt.isToStop()) {
            return false;
        }
        LOG.info("preempting task: task={} machine={}", claim.task(), claim.machine());
        attempt.markToStop(StopReason.PREEMPTED);
        return true;
    }

    /** Marks attempts whose image pull is slow compared to the medians of their job, as by {@link StragglerDetector}. */
    void stopStragglers(AgentState agent, Instant now) {
        if (agent.isSilentSincePause()) {
            // The image pull may have finished during the pause, when no heartbeat could be received.
            return;
        }
        for (Claim claim : clusterState.claimsOn(agent.machine()).values()) {
            AttemptState attempt = agent.findAttempt(claim.task(), claim.attempt());
            Job job = clusterState.job(claim.task().job());
            if (mayBeStraggler(attempt, claim, job)) {
                stopIfStraggler(claim, attempt, job, now);
            }
        }
    }

    /**
     * Returns whether an attempt is a candidate for the straggler check. A task that already runs is never restarted as a
     * straggler, and no task is restarted as one twice.
     */
    private boolean mayBeStraggler(AttemptState attempt, Claim claim, Job job) {
        boolean pulling = attempt != null && attempt.isPulling() && !attempt.isToStop();
        int task = claim.task().index();
        return pulling
                && job != null
                && job.doneCount() >= operatorSettings.stragglerMinimumDone()
                && !job.storedTaskRange(job.taskRangeIndex(task)).wasStraggler(task);
    }

    private void stopIfStraggler(Claim claim, AttemptState attempt, Job job, Instant now) {
        Duration medianPull = job.medianPull();
        Duration medianRun = job.medianRun();
        if (medianPull == null || medianRun == null) {
            return;
        }
        Duration elapsed = attempt.pullElapsed(now);
        Duration estimate = StragglerDetector.estimateWhilePulling(elapsed, medianPull, medianRun);
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
            attempt.markToStop(StopReason.STRAGGLER);
        }
    }

    /** Marks attempts that cannot finish before the spot interruption, so that they restart on other machines sooner. */
    void drain(AgentState agent, Instant now) {
        if (agent.interruptionAt() == null) {
            return;
        }
        Duration timeLeft = Duration.between(now, agent.interruptionAt());
        for (Claim claim : clusterState.claimsOn(agent.machine()).values()) {
            AttemptState attempt = agent.findAttempt(claim.task(), claim.attempt());
            Job job = clusterState.job(claim.task().job());
            boolean continues = attempt != null && !attempt.isToStop();
            if (continues && job != null && !endsWithin(timeLeft, attempt, job, now)) {
                attempt.markToStop(StopReason.DRAINED);
            }
        }
    }

    private static boolean endsWithin(Duration timeLeft, AttemptState attempt, Job job, Instant now) {
        Duration medianRun = job.medianRun();
        Duration estimate = medianRun == null ? job.spec().estimatedDuration() : medianRun;
        return estimate.minus(attempt.runElapsed(now)).toMillis() <= timeLeft.toMillis() * REMAINING_TIME_TOLERANCE;
    }
}
