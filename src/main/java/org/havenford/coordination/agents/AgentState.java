package org.havenford.coordination.agents;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.havenford.protocol.Heartbeat;
import org.havenford.protocol.TaskId;
import org.havenford.storage.records.MachineRecord.Condition;

/** What this controller knows of a machine that it owns. Kept in memory only: a successor starts from nothing. */
public final class AgentState {
    /** Bits of a fencing token that the fence takes. */
    private static final int FENCE_BITS = 32;

    /** Why a task is to be stopped, although its claim still holds. */
    enum StopReason {
        CANCELLED,
        STRAGGLER,
        PREEMPTED,
        DRAINED
    }

    /** One claimed attempt as seen from here. */
    static final class Attempt {
        final long number;
        /** The worker has shown it in a report: {@code run} must not be sent again. */
        boolean seen;
        /** Token of the last {@code run} that went out by /do; only a higher one, seen by the worker, rules it out. */
        long directToken = -1;
        /** When the phases began, where this controller saw it happen. */
        Instant pullStartedAt;

        Instant runStartedAt;
        boolean sawPullStart;
        boolean sawRunStart;
        double pullSeconds = -1;
        StopReason stopReason;
        /** This controller has stood still during the present phase: its duration was not seen. */
        boolean interrupted;

        Attempt(long number) {
            this.number = number;
        }
    }

    final String name;
    public Heartbeat heartbeat;
    /** Session and sequence of the newest report that came by itself, not as an answer to a command. */
    long checkinIncarnation = -1;

    long checkinSequence = -1;
    /** Steady time of the newest report, answers to commands included. */
    Instant lastSignAt = Instant.MIN;
    /** Steady time of the newest report that came by itself: only these renew the worker's lease. */
    Instant lastHeartbeatAt = Instant.MIN;
    /** The last moment at which any owner could have renewed the worker's lease. */
    Instant leaseRenewedAt;

    long epoch;
    long fence;
    /** A {@code run} has gone out by /do under the present fence. */
    boolean startedByDirectCommand;

    /** This controller has stood still, and has not heard the worker since. */
    boolean silentSincePause;

    boolean directInFlight;
    Instant directNotBefore = Instant.MIN;
    Instant refusedUntil = Instant.MIN;
    /** How the machine is, as its owner sees it; the record follows. */
    Condition condition = Condition.BOOTING;
    /** When it was first heard without being on record. */
    Instant unknownSince;
    /** Reports in a row before which the worker had reported elsewhere: our answers don't seem to reach it. */
    int unanswered;
    /** Answers to /do since the last report; each raises the worker's sequence too. */
    int directAnswers;

    Instant noticeUntil;
    /** Images that the machine should have cached, the latest first; null until the record's are taken over. */
    List<String> images;

    final Object2ObjectOpenHashMap<TaskId, Attempt> attempts = new Object2ObjectOpenHashMap<>();
    /** Tasks that failed here; they are placed elsewhere. */
    final Set<TaskId> avoidedTasks = new HashSet<>();

    AgentState(String name, Instant renewed) {
        this.name = name;
        this.leaseRenewedAt = renewed;
    }

    /**
     * This controller has stood still. The time in which it could hear nobody does not count as silence of the worker, and
     * what began or ended meanwhile was not seen. The worker's lease is not touched: nobody else can have renewed it.
     */
    void processPaused(Duration pause) {
        silentSincePause = true;
        lastHeartbeatAt = afterPause(lastHeartbeatAt, pause);
        lastSignAt = afterPause(lastSignAt, pause);
        for (Attempt attempt : attempts.values()) {
            attempt.interrupted = true;
            attempt.sawRunStart = false;
        }
    }

    private static Instant afterPause(Instant before, Duration pause) {
        return before.equals(Instant.MIN) ? before : before.plus(pause);
    }

    /** The fencing token of direct commands and responses: the epoch of the view, and a fence that rises within it. */
    long fencingToken() {
        return epoch << FENCE_BITS | fence;
    }

    /** The lowest fencing token of the present epoch. */
    long lowestFencingToken() {
        return epoch << FENCE_BITS;
    }

    /** From now on fencing tokens are higher than that of any command sent so far. */
    void raiseFencingToken() {
        fence++;
        startedByDirectCommand = false;
    }

    /** The view has a new epoch, in which this controller still owns the machine. */
    void startEpoch(long newEpoch) {
        epoch = newEpoch;
        fence = 0;
        startedByDirectCommand = false;
    }

    /** A response that renews the agent's lease goes out. */
    void renewLease(Instant now) {
        leaseRenewedAt = later(leaseRenewedAt, now);
    }

    /** When the agent was last heard or may have been answered by any owner. */
    Instant lastSign() {
        return lastSignAt.equals(Instant.MIN) ? leaseRenewedAt : later(leaseRenewedAt, lastSignAt);
    }

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }

    Attempt attempt(TaskId task, long number) {
        Attempt a = attempts.get(task);
        if (a == null || a.number != number) {
            a = new Attempt(number);
            attempts.put(task, a);
        }
        return a;
    }
}
