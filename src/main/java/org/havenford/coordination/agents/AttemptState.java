package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import org.havenford.storage.records.Claim;
import org.havenford.transport.EventLoop;

/** The state of one claimed attempt of a task as observed by the owner of its machine. */
final class AttemptState {
    /** Reason for which an attempt is to be stopped although its claim still holds. */
    enum StopReason {
        CANCELLED,
        STRAGGLER,
        PREEMPTED,
        DRAINED
    }

    /** Stands for the token of a command that was never sent; lower than any real token. */
    private static final long NO_TOKEN = -1;

    private final long number;
    /** Whether a heartbeat has listed the attempt; from then on no run command must be sent for it. */
    private boolean reported;
    /** Token of the last run command sent in a direct call; the agent rejects it only after seeing a higher token. */
    private long directRunToken = NO_TOKEN;
    /** When the image pull began; null if unknown. */
    private Instant pullStartedAt;
    /** When the run began; null if unknown. */
    private Instant runStartedAt;

    private boolean pullStartObserved;
    private boolean runStartObserved;
    /** Whether this process was paused since the attempt is tracked; durations of phases are then unreliable. */
    private boolean processWasPaused;

    private Duration pullDuration;
    private StopReason stopReason;

    AttemptState(long number) {
        this.number = number;
    }

    /** Returns the number of the attempt among the attempts of its task. */
    long number() {
        return number;
    }

    /** Records that a run command is being sent. */
    void recordRun(EventLoop loop) {
        if (pullStartedAt == null) {
            pullStartedAt = loop.now();
            pullStartObserved = true;
        }
    }

    /** Records that a run command is being sent in a direct call with a given fencing token. */
    void recordDirectRun(long fencingToken) {
        directRunToken = fencingToken;
    }

    /** Returns whether an agent that has seen {@code fencingToken} rejects all run commands sent in direct calls so far. */
    boolean isDirectRunFenced(long fencingToken) {
        return fencingToken > directRunToken;
    }

    /** Marks the attempt to be stopped. */
    void markToStop(StopReason reason) {
        stopReason = reason;
    }

    boolean isToStop() {
        return stopReason != null;
    }

    /** Returns whether the attempt is to be stopped for the given reason. */
    boolean isToStop(StopReason reason) {
        return stopReason == reason;
    }

    /** Records that a heartbeat has listed the attempt. */
    void markReported() {
        reported = true;
    }

    boolean isReported() {
        return reported;
    }

    /** Records that the agent reports the attempt as pulling its image. */
    void recordPulling(EventLoop loop, Claim claim) {
        if (pullStartedAt == null) {
            pullStartedAt = monotonicClaimTime(claim, loop);
            pullStartObserved = true;
        }
    }

    /**
     * Records that the agent reports the attempt as running. If the claim is younger than {@code freshness}, the start of
     * the run counts as observed even if no heartbeat showed the image pull.
     */
    void recordRunning(EventLoop loop, Claim claim, Duration freshness) {
        if (runStartedAt != null) {
            return;
        }
        runStartedAt = loop.now();
        boolean claimIsRecent =
                Duration.between(claim.claimedAt(), loop.timeOfDay()).compareTo(freshness) < 0;
        runStartObserved = !processWasPaused && (pullStartObserved || claimIsRecent);
        if (runStartObserved) {
            pullDuration = pullStartedAt == null ? Duration.ZERO : Duration.between(pullStartedAt, runStartedAt);
        }
    }

    /** Converts the time of the claim, a time of day, to an instant of the monotonic clock. */
    private static Instant monotonicClaimTime(Claim claim, EventLoop loop) {
        Duration age = Duration.between(claim.claimedAt(), loop.timeOfDay());
        return loop.now().minus(age.isNegative() ? Duration.ZERO : age);
    }

    /** Discards observations after a pause of this process, in which phases may have begun or ended unobserved. */
    void processPaused() {
        processWasPaused = true;
        runStartObserved = false;
    }

    /** Returns whether the agent has reported the attempt, its start is known, and it is not running yet. */
    boolean isPulling() {
        return reported && runStartedAt == null && pullStartedAt != null;
    }

    /** Returns how long the image pull has taken so far. Requires that the attempt {@link #isPulling}. */
    Duration pullElapsed(Instant now) {
        return Duration.between(pullStartedAt, now);
    }

    /** Returns how long the task has run so far, or zero if no heartbeat has reported it running. */
    Duration runElapsed(Instant now) {
        return runStartedAt == null ? Duration.ZERO : Duration.between(runStartedAt, now);
    }

    /** Returns how long the image pull took, or null if this controller did not observe it. */
    Duration pullDuration() {
        return pullDuration;
    }

    /** Returns the run duration of a task that ends now, or null if this controller did not observe its start. */
    Duration runDuration(EventLoop loop) {
        return runStartObserved && runStartedAt != null ? Duration.between(runStartedAt, loop.now()) : null;
    }
}
