package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.havenford.coordination.agents.AgentState.Attempt;
import org.havenford.coordination.agents.AgentState.StopReason;
import org.havenford.protocol.Heartbeat;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Compares a worker's report with the claims on its machine: which attempts have begun, go on, or have ended. */
final class HeartbeatReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);
    /** How long a machine that has refused a task gets no other. */
    private static final Duration REFUSAL_HOLDS = Duration.ofSeconds(4);

    private final EventLoop loop;
    private final ClusterState clusterState;
    private final AttemptOutcomes outcomes;
    private final ImageCacheTracker imageCache;
    private final MachineFaultDetector faultDetector;
    private final Duration fresh;

    /** Claims younger than {@code fresh} are taken to have begun when they were first seen. */
    HeartbeatReconciler(
            AgentContext context,
            AttemptOutcomes outcomes,
            ImageCacheTracker imageCache,
            MachineFaultDetector faultDetector,
            Duration fresh) {
        this.faultDetector = faultDetector;
        this.loop = context.loop();
        this.clusterState = context.clusterState();
        this.outcomes = outcomes;
        this.imageCache = imageCache;
        this.fresh = fresh;
    }

    /** Takes a heartbeat over. */
    void reconcile(AgentState machine, Heartbeat heartbeat, HeartbeatOrigin origin) {
        Heartbeat before = machine.heartbeat;
        machine.heartbeat = heartbeat;
        machine.lastSignAt = loop.now();
        machine.silentSincePause = false;
        if (heartbeat.spotNoticeSeconds() != null && machine.noticeUntil == null) {
            machine.noticeUntil = loop.now().plusMillis((long) (heartbeat.spotNoticeSeconds() * 1000));
        }
        if (before != null && heartbeat.incarnation() > before.incarnation()) {
            machine.attempts.clear();
        }
        for (Claim claim : List.copyOf(clusterState.claimsOn(machine.name).values())) {
            compare(machine, claim, heartbeat, origin);
        }
    }

    private void compare(AgentState machine, Claim claim, Heartbeat heartbeat, HeartbeatOrigin origin) {
        if (claim.incarnation() < heartbeat.incarnation()) {
            // A later session: the worker has killed and forgotten everything from before.
            outcomes.end(claim, AttemptOutcome.RETRY);
        } else if (claim.incarnation() == heartbeat.incarnation()) {
            Heartbeat.AttemptStatus entry = heartbeat.find(claim.task(), claim.attempt());
            Attempt attempt = machine.attempt(claim.task(), claim.attempt());
            if (entry == null) {
                absent(machine, claim, attempt, heartbeat, origin);
            } else {
                present(machine, claim, attempt, entry);
            }
        }
    }

    private void absent(AgentState machine, Claim claim, Attempt attempt, Heartbeat heartbeat, HeartbeatOrigin origin) {
        boolean unwanted = attempt.stopReason != null || clusterState.isCancelled(claim);
        if (!attempt.seen && !unwanted) {
            return;
        }
        // Absence in a report proves something only if no run can arrive any more: answers to reports can't be late
        // beyond the next report, and a run by /do is ruled out once the worker has seen a higher token.
        if (origin == HeartbeatOrigin.AGENT
                && heartbeat.fencingToken() >= machine.lowestFencingToken()
                && heartbeat.fencingToken() > attempt.directToken) {
            outcomes.end(
                    claim,
                    attempt.stopReason == StopReason.STRAGGLER ? AttemptOutcome.STRAGGLER : AttemptOutcome.RETRY);
        } else if (attempt.directToken >= machine.fencingToken()) {
            machine.raiseFencingToken();
        }
    }

    private void present(AgentState machine, Claim claim, Attempt attempt, Heartbeat.AttemptStatus entry) {
        boolean first = !attempt.seen;
        attempt.seen = true;
        switch (entry.state()) {
            case FETCHING -> fetches(claim, attempt, first);
            case RUNNING -> {
                runs(claim, attempt);
                imageCache.used(machine, clusterState.job(claim.task().job()));
            }
            case EXITED -> exited(machine, claim, attempt, entry.exitCause());
            default -> {
                // A task that is saving still holds its resources.
            }
        }
    }

    private void fetches(Claim claim, Attempt attempt, boolean first) {
        if (attempt.pullStartedAt == null) {
            attempt.pullStartedAt = first && attempt.sawPullStart ? attempt.pullStartedAt : startOf(claim);
            attempt.sawPullStart = true;
        }
    }

    private void runs(Claim claim, Attempt attempt) {
        if (attempt.runStartedAt != null) {
            return;
        }
        attempt.runStartedAt = loop.now();
        boolean young = Duration.between(claim.claimedAt(), loop.timeOfDay()).compareTo(fresh) < 0;
        attempt.sawRunStart = !attempt.interrupted && (attempt.sawPullStart || young);
        if (attempt.sawRunStart) {
            attempt.pullSeconds =
                    attempt.pullStartedAt == null ? 0 : seconds(attempt.pullStartedAt, attempt.runStartedAt);
        }
    }

    private static double seconds(Instant from, Instant to) {
        return Duration.between(from, to).toMillis() / 1e3;
    }

    /** The claim's age by the time of day, as a steady instant. */
    private Instant startOf(Claim claim) {
        Duration age = Duration.between(claim.claimedAt(), loop.timeOfDay());
        return loop.now().minus(age.isNegative() ? Duration.ZERO : age);
    }

    private void exited(AgentState machine, Claim claim, Attempt attempt, String why) {
        switch (why) {
            case "done" -> done(machine, claim, attempt);
            case "stopped" ->
                outcomes.end(
                        claim,
                        attempt.stopReason == StopReason.STRAGGLER ? AttemptOutcome.STRAGGLER : AttemptOutcome.RETRY);
            case "error" -> {
                LOG.info("{} failed on {}", claim.task(), machine.name);
                machine.avoidedTasks.add(claim.task());
                faultDetector.failed(machine.name, claim.task().job());
                outcomes.end(claim, AttemptOutcome.FAILED);
            }
            case "no_room", "busy" -> {
                LOG.info("{} refused by {}: {}", claim.task(), machine.name, why);
                machine.refusedUntil = loop.now().plus(REFUSAL_HOLDS);
                outcomes.end(claim, AttemptOutcome.RETRY);
            }
            default -> {
                LOG.info("{} refused by {}: {}", claim.task(), machine.name, why);
                outcomes.end(claim, AttemptOutcome.FAILED);
            }
        }
    }

    private void done(AgentState machine, Claim claim, Attempt attempt) {
        imageCache.used(machine, clusterState.job(claim.task().job()));
        boolean sawRun = attempt.sawRunStart && attempt.runStartedAt != null;
        double run = sawRun ? seconds(attempt.runStartedAt, loop.now()) : -1;
        faultDetector.succeeded(machine.name);
        outcomes.end(claim, AttemptOutcome.done(attempt.pullSeconds, run));
    }
}
