package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import org.havenford.coordination.agents.AgentState.StopReason;
import org.havenford.storage.records.Claim;
import org.havenford.transport.EventLoop;

/** One claimed attempt of a task as seen by this controller. */
final class AttemptState {
    /** The fencing token of no command. */
    private static final long NO_TOKEN = -1;

    final long number;
    /** The agent has shown it in a heartbeat: a run command must not be sent again. */
    boolean seen;
    /** Token of the last run command that was sent directly; only a higher one, seen by the agent, rules it out. */
    long directToken = NO_TOKEN;
    /** When the image pull began; null if that is not known. */
    Instant pullStartedAt;
    /** When the run began; null if that is not known. */
    Instant runStartedAt;
    /** How long the image was pulled; null if this controller did not see it. */
    Duration pullDuration;
    /** Why the attempt is to be stopped; null if it may go on. */
    StopReason stopReason;

    private boolean sawPullStart;
    private boolean sawRunStart;
    /** This controller was paused during the present phase: its duration was not seen. */
    private boolean interrupted;

    AttemptState(long number) {
        this.number = number;
    }

    boolean isToStop() {
        return stopReason != null;
    }

    /** This controller was paused: what began or ended meanwhile was not seen. */
    void processPaused() {
        interrupted = true;
        sawRunStart = false;
    }

    /** A run command goes out. */
    void runCommandSent(EventLoop loop) {
        if (pullStartedAt == null) {
            pullStartedAt = loop.now();
            sawPullStart = true;
        }
    }

    /** The agent pulls the image. */
    void pullSeen(EventLoop loop, Claim claim) {
        if (pullStartedAt == null) {
            pullStartedAt = startOf(claim, loop);
            sawPullStart = true;
        }
    }

    /** The agent runs the task; of claims younger than {@code fresh} the pull is taken to have been seen. */
    void runSeen(EventLoop loop, Claim claim, Duration fresh) {
        if (runStartedAt != null) {
            return;
        }
        runStartedAt = loop.now();
        boolean young = Duration.between(claim.claimedAt(), loop.timeOfDay()).compareTo(fresh) < 0;
        sawRunStart = !interrupted && (sawPullStart || young);
        if (sawRunStart) {
            pullDuration = pullStartedAt == null ? Duration.ZERO : Duration.between(pullStartedAt, runStartedAt);
        }
    }

    /** How long the task has run until now; null if this controller did not see the run begin. */
    Duration runDuration(EventLoop loop) {
        return sawRunStart && runStartedAt != null ? Duration.between(runStartedAt, loop.now()) : null;
    }

    /** The claim's age by the time of day, as a steady instant. */
    private static Instant startOf(Claim claim, EventLoop loop) {
        Duration age = Duration.between(claim.claimedAt(), loop.timeOfDay());
        return loop.now().minus(age.isNegative() ? Duration.ZERO : age);
    }
}
