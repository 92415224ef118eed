package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import org.havenford.storage.records.Claim;
import org.havenford.transport.EventLoop;

/** One claimed attempt of a task as seen by this controller. */
final class AttemptState {
    /** Why an attempt is to be stopped, although its claim still holds. */
    enum StopReason {
        CANCELLED,
        STRAGGLER,
        PREEMPTED,
        DRAINED
    }

    /** The fencing token of no command. */
    private static final long NO_TOKEN = -1;

    private final long number;
    /** The agent has shown it in a heartbeat: a run command must not be sent again. */
    private boolean shown;
    /** Token of the last run command that was sent directly; only a higher one, seen by the agent, rules it out. */
    private long directRunToken = NO_TOKEN;
    /** When the image pull began; null if that is not known. */
    private Instant pullStartedAt;
    /** When the run began; null if that is not known. */
    private Instant runStartedAt;

    private boolean sawPullStart;
    private boolean sawRunStart;
    /** This controller was paused during the present phase: its duration was not seen. */
    private boolean interrupted;

    private Duration pullDuration;
    private StopReason stopReason;

    AttemptState(long number) {
        this.number = number;
    }

    /** The number of the attempt among those of its task. */
    long number() {
        return number;
    }

    // ---- commands

    /** A run command goes out. */
    void runSent(EventLoop loop) {
        if (pullStartedAt == null) {
            pullStartedAt = loop.now();
            sawPullStart = true;
        }
    }

    /** A run command goes out in a direct call. */
    void runSentDirectly(long fencingToken) {
        directRunToken = fencingToken;
    }

    /** Whether no direct run command can arrive any more at an agent that has seen a fencing token. */
    boolean isDirectRunFenced(long fencingToken) {
        return fencingToken > directRunToken;
    }

    /** Marks the attempt to be stopped. */
    void stop(StopReason reason) {
        stopReason = reason;
    }

    boolean isToStop() {
        return stopReason != null;
    }

    /** Whether the attempt is to be stopped for a reason. */
    boolean isToStop(StopReason reason) {
        return stopReason == reason;
    }

    // ---- heartbeats

    /** The agent has shown the attempt in a heartbeat. */
    void show() {
        shown = true;
    }

    boolean isShown() {
        return shown;
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

    /** The claim's age by the time of day, as a steady instant. */
    private static Instant startOf(Claim claim, EventLoop loop) {
        Duration age = Duration.between(claim.claimedAt(), loop.timeOfDay());
        return loop.now().minus(age.isNegative() ? Duration.ZERO : age);
    }

    /** This controller was paused: what began or ended meanwhile was not seen. */
    void processPaused() {
        interrupted = true;
        sawRunStart = false;
    }

    // ---- durations

    /** Whether the agent has shown the attempt, and it has a known beginning and does not run yet. */
    boolean isPulling() {
        return shown && runStartedAt == null && pullStartedAt != null;
    }

    /** How long the image has been pulled, of an attempt that {@link #isPulling}. */
    Duration pullElapsed(Instant now) {
        return Duration.between(pullStartedAt, now);
    }

    /** How long the task has run; zero if its run was not seen. */
    Duration runElapsed(Instant now) {
        return runStartedAt == null ? Duration.ZERO : Duration.between(runStartedAt, now);
    }

    /** How long the image was pulled; null if this controller did not see it. */
    Duration pullDuration() {
        return pullDuration;
    }

    /** How long a task that has ended now has run; null if this controller did not see the run begin. */
    Duration runDuration(EventLoop loop) {
        return sawRunStart && runStartedAt != null ? Duration.between(runStartedAt, loop.now()) : null;
    }
}
