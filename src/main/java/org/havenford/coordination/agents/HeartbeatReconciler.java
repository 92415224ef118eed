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
    /** Bits of a token that the fence takes. */
    private static final int FENCE_BITS = 32;

    private final EventLoop loop;
    private final ClusterState ledger;
    private final AttemptOutcomes endings;
    private final ImageCacheTracker images;
    private final MachineFaultDetector evidence;
    private final Duration fresh;

    /** Claims younger than {@code fresh} are taken to have begun when they were first seen. */
    HeartbeatReconciler(
            EventLoop loop,
            ClusterState ledger,
            AttemptOutcomes endings,
            ImageCacheTracker images,
            MachineFaultDetector evidence,
            Duration fresh) {
        this.evidence = evidence;
        this.loop = loop;
        this.ledger = ledger;
        this.endings = endings;
        this.images = images;
        this.fresh = fresh;
    }

    /** Takes a report over; {@code fromCheckin} tells reports that came by themselves from answers to commands. */
    void read(AgentState machine, Heartbeat report, boolean fromCheckin) {
        Heartbeat before = machine.report;
        machine.report = report;
        machine.heard = loop.now();
        machine.unheardSincePause = false;
        if (report.noticeS() != null && machine.noticeUntil == null) {
            machine.noticeUntil = loop.now().plusMillis((long) (report.noticeS() * 1000));
        }
        if (before != null && report.session() > before.session()) {
            machine.attempts.clear();
        }
        for (Claim claim : List.copyOf(ledger.claimsOn(machine.name).values())) {
            compare(machine, claim, report, fromCheckin);
        }
    }

    private void compare(AgentState machine, Claim claim, Heartbeat report, boolean fromCheckin) {
        if (claim.session() < report.session()) {
            // A later session: the worker has killed and forgotten everything from before.
            endings.end(claim, AttemptOutcome.RETRY);
        } else if (claim.session() == report.session()) {
            Heartbeat.AttemptStatus entry = report.find(claim.task(), claim.attempt());
            Attempt attempt = machine.attempt(claim.task(), claim.attempt());
            if (entry == null) {
                absent(machine, claim, attempt, report, fromCheckin);
            } else {
                present(machine, claim, attempt, entry);
            }
        }
    }

    private void absent(AgentState machine, Claim claim, Attempt attempt, Heartbeat report, boolean fromCheckin) {
        boolean unwanted = attempt.stop != null || ledger.isCancelled(claim);
        if (!attempt.seen && !unwanted) {
            return;
        }
        // Absence in a report proves something only if no run can arrive any more: answers to reports can't be late
        // beyond the next report, and a run by /do is ruled out once the worker has seen a higher token.
        if (fromCheckin && report.token() >= machine.epoch << FENCE_BITS && report.token() > attempt.directToken) {
            endings.end(claim, attempt.stop == StopReason.LATE ? AttemptOutcome.LATE : AttemptOutcome.RETRY);
        } else if (attempt.directToken >= machine.token()) {
            machine.fence++;
            machine.ranDirectly = false;
        }
    }

    private void present(AgentState machine, Claim claim, Attempt attempt, Heartbeat.AttemptStatus entry) {
        boolean first = !attempt.seen;
        attempt.seen = true;
        switch (entry.state()) {
            case FETCHING -> fetches(claim, attempt, first);
            case RUNNING -> {
                runs(claim, attempt);
                images.used(machine, ledger.job(claim.task().job()));
            }
            case EXITED -> exited(machine, claim, attempt, entry.why());
            default -> {
                // A task that is saving still holds its resources.
            }
        }
    }

    private void fetches(Claim claim, Attempt attempt, boolean first) {
        if (attempt.fetchFrom == null) {
            attempt.fetchFrom = first && attempt.sawFetchStart ? attempt.fetchFrom : startOf(claim);
            attempt.sawFetchStart = true;
        }
    }

    private void runs(Claim claim, Attempt attempt) {
        if (attempt.runFrom != null) {
            return;
        }
        attempt.runFrom = loop.now();
        boolean young = Duration.between(claim.at(), loop.timeOfDay()).compareTo(fresh) < 0;
        attempt.sawRunStart = !attempt.interrupted && (attempt.sawFetchStart || young);
        if (attempt.sawRunStart) {
            attempt.fetchSeconds = attempt.fetchFrom == null ? 0 : seconds(attempt.fetchFrom, attempt.runFrom);
        }
    }

    private static double seconds(Instant from, Instant to) {
        return Duration.between(from, to).toMillis() / 1e3;
    }

    /** The claim's age by the time of day, as a steady instant. */
    private Instant startOf(Claim claim) {
        Duration age = Duration.between(claim.at(), loop.timeOfDay());
        return loop.now().minus(age.isNegative() ? Duration.ZERO : age);
    }

    private void exited(AgentState machine, Claim claim, Attempt attempt, String why) {
        switch (why) {
            case "done" -> done(machine, claim, attempt);
            case "stopped" ->
                endings.end(claim, attempt.stop == StopReason.LATE ? AttemptOutcome.LATE : AttemptOutcome.RETRY);
            case "error" -> {
                LOG.info("{} failed on {}", claim.task(), machine.name);
                machine.avoid.add(claim.task());
                evidence.failed(machine.name, claim.task().job());
                endings.end(claim, AttemptOutcome.FAILED);
            }
            case "no_room", "busy" -> {
                LOG.info("{} refused by {}: {}", claim.task(), machine.name, why);
                machine.refusedUntil = loop.now().plus(REFUSAL_HOLDS);
                endings.end(claim, AttemptOutcome.RETRY);
            }
            default -> {
                LOG.info("{} refused by {}: {}", claim.task(), machine.name, why);
                endings.end(claim, AttemptOutcome.FAILED);
            }
        }
    }

    private void done(AgentState machine, Claim claim, Attempt attempt) {
        images.used(machine, ledger.job(claim.task().job()));
        boolean sawRun = attempt.sawRunStart && attempt.runFrom != null;
        double run = sawRun ? seconds(attempt.runFrom, loop.now()) : -1;
        evidence.succeeded(machine.name);
        endings.end(claim, AttemptOutcome.done(attempt.fetchSeconds, run));
    }
}
