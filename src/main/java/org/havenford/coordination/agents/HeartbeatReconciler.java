package org.havenford.coordination.agents;

import java.time.Duration;
import java.util.List;
import org.havenford.coordination.agents.AttemptState.StopReason;
import org.havenford.protocol.Heartbeat;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Compares an agent's heartbeat with the claims on its machine to find attempts that have started or ended. */
final class HeartbeatReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);
    /** How long a machine whose agent refused a task is given no new tasks. */
    private static final Duration REFUSAL_BACKOFF = Duration.ofSeconds(4);

    private final EventLoop loop;
    private final ClusterState clusterState;
    private final AttemptOutcomes outcomes;
    private final DecisionLog decisionLog;
    private final ImageCacheTracker imageCache;
    private final MachineFaultDetector faultDetector;
    private final Duration heartbeatFreshness;

    /**
     * Creates a reconciler. For claims younger than {@code heartbeatFreshness}, the start of a run counts as observed
     * even if no heartbeat showed the image pull.
     */
    HeartbeatReconciler(
            AgentContext context,
            AttemptOutcomes outcomes,
            DecisionLog decisionLog,
            ImageCacheTracker imageCache,
            MachineFaultDetector faultDetector,
            Duration heartbeatFreshness) {
        this.loop = context.loop();
        this.clusterState = context.clusterState();
        this.outcomes = outcomes;
        this.decisionLog = decisionLog;
        this.imageCache = imageCache;
        this.faultDetector = faultDetector;
        this.heartbeatFreshness = heartbeatFreshness;
    }

    /** Stores a new heartbeat and reconciles the claims on its machine with it. */
    void reconcile(AgentState agent, Heartbeat heartbeat, HeartbeatOrigin origin) {
        boolean restarted = agent.hasReported() && heartbeat.incarnation() > agent.incarnation();
        agent.recordHeartbeat(heartbeat, loop.now());
        if (restarted) {
            decisionLog.agentRestarted(agent, origin);
        }
        if (heartbeat.spotNoticeSeconds() != null && agent.interruptionAt() == null) {
            agent.recordInterruptionNotice(loop.now().plusMillis((long) (heartbeat.spotNoticeSeconds() * 1000)));
        }
        for (Claim claim : List.copyOf(clusterState.claimsOn(agent.machine()).values())) {
            reconcile(agent, claim, heartbeat, origin);
        }
    }

    private void reconcile(AgentState agent, Claim claim, Heartbeat heartbeat, HeartbeatOrigin origin) {
        if (claim.incarnation() < heartbeat.incarnation()) {
            // A later incarnation of the agent has killed and forgotten all attempts of the earlier one.
            outcomes.recordOutcome(claim, AttemptOutcome.NotDone.RETRY, EndProof.LATER_INCARNATION);
        } else if (claim.incarnation() == heartbeat.incarnation()) {
            Heartbeat.AttemptStatus status = heartbeat.find(claim.task(), claim.attempt());
            AttemptState attempt = agent.getOrCreateAttempt(claim.task(), claim.attempt());
            if (status == null) {
                reconcileAbsent(agent, claim, attempt, heartbeat, origin);
            } else {
                reconcilePresent(agent, claim, attempt, status);
            }
        }
    }

    private void reconcileAbsent(
            AgentState agent, Claim claim, AttemptState attempt, Heartbeat heartbeat, HeartbeatOrigin origin) {
        boolean unwanted = attempt.isToStop() || clusterState.isCancelled(claim);
        if (!attempt.isReported() && !unwanted) {
            return;
        }
        // An attempt that is absent from a heartbeat has ended only if no run command for it can still take effect. A
        // run command in the response to a heartbeat cannot arrive after the agent's next heartbeat; one in a direct
        // call is rejected once the agent has seen a higher fencing token.
        if (origin == HeartbeatOrigin.UNSOLICITED
                && heartbeat.fencingToken() >= agent.lowestFencingToken()
                && attempt.isDirectRunFenced(heartbeat.fencingToken())) {
            outcomes.recordOutcome(claim, outcomeOfStopped(attempt), EndProof.ABSENT_FROM_HEARTBEAT);
        } else if (!attempt.isDirectRunFenced(agent.fencingToken())) {
            agent.raiseFencingToken();
        }
    }

    private void reconcilePresent(AgentState agent, Claim claim, AttemptState attempt, Heartbeat.AttemptStatus status) {
        attempt.markReported();
        switch (status.state()) {
            case PULLING_IMAGE -> attempt.recordPulling(loop, claim);
            case RUNNING -> {
                attempt.recordRunning(loop, claim, heartbeatFreshness);
                imageCache.recordUse(agent, clusterState.job(claim.task().job()));
            }
            case EXITED -> reconcileExited(agent, claim, attempt, status.exitCause());
            default -> {
                // A checkpointing task still holds its resources.
            }
        }
    }

    private void reconcileExited(AgentState agent, Claim claim, AttemptState attempt, String cause) {
        switch (ExitCause.parse(cause)) {
            case DONE -> reconcileDone(agent, claim, attempt);
            case STOPPED -> recordExit(claim, outcomeOfStopped(attempt));
            case ERROR -> {
                LOG.info("task failed: task={} machine={}", claim.task(), agent.machine());
                agent.avoid(claim.task());
                faultDetector.recordFailure(agent.machine(), claim.task().job());
                recordExit(claim, AttemptOutcome.NotDone.FAILED);
            }
            case REFUSED_FOR_NOW -> {
                logRefused(agent, claim, cause);
                agent.withholdTasksUntil(loop.now().plus(REFUSAL_BACKOFF));
                recordExit(claim, AttemptOutcome.NotDone.RETRY);
            }
            default -> {
                // Refused permanently, or exited for an unknown cause.
                logRefused(agent, claim, cause);
                recordExit(claim, AttemptOutcome.NotDone.FAILED);
            }
        }
    }

    private void recordExit(Claim claim, AttemptOutcome outcome) {
        outcomes.recordOutcome(claim, outcome, EndProof.REPORTED_EXIT);
    }

    private static void logRefused(AgentState agent, Claim claim, String cause) {
        LOG.info("task refused: task={} machine={} cause={}", claim.task(), agent.machine(), cause);
    }

    private static AttemptOutcome outcomeOfStopped(AttemptState attempt) {
        return attempt.isToStop(StopReason.STRAGGLER) ? AttemptOutcome.NotDone.STRAGGLER : AttemptOutcome.NotDone.RETRY;
    }

    private void reconcileDone(AgentState agent, Claim claim, AttemptState attempt) {
        imageCache.recordUse(agent, clusterState.job(claim.task().job()));
        Duration runDuration = attempt.runDuration(loop);
        faultDetector.recordSuccess(agent.machine());
        recordExit(claim, new AttemptOutcome.Done(attempt.pullDuration(), runDuration));
    }
}
