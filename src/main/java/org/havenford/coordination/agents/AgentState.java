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

/**
 * What this controller knows of an agent, and of its machine, that it owns. Kept in memory only: a successor starts from
 * nothing. Instants are steady time unless said otherwise; null stands for never.
 */
public final class AgentState {
    /** Heartbeats in a row without a sign that our responses arrive, from which on a machine counts as silent. */
    private static final int MAX_UNANSWERED = 2;
    /** Bits of a fencing token that the fence takes. */
    private static final int FENCE_BITS = 32;
    /** Before the first heartbeat: lower than any incarnation and sequence. */
    private static final long NONE = -1;

    private final String machine;

    private Heartbeat heartbeat;
    /** Incarnation and sequence of the newest heartbeat that the agent sent by itself, not in the reply to a command. */
    private long heartbeatIncarnation = NONE;

    private long heartbeatSequence = NONE;
    /** When the newest heartbeat came, replies to commands included. */
    private Instant lastSignAt;
    /** When the newest heartbeat came that the agent sent by itself: only these renew its lease. */
    private Instant lastHeartbeatAt;
    /** The last moment at which any owner could have renewed the agent's lease. */
    private Instant leaseRenewedAt;
    /** This controller was paused, and has not heard the agent since. */
    private boolean silentSincePause;
    /** Heartbeats in a row before which the agent had reported elsewhere: our responses don't seem to reach it. */
    private int unanswered;

    private long epoch;
    private long fence;
    /** A run command has been sent directly under the present fence. */
    private boolean startedByDirectCommand;

    private boolean callInFlight;
    private Instant noCallBefore;
    /** Replies to direct calls since the last heartbeat; each raises the agent's sequence too. */
    private int callReplies;

    /** How the machine is, as its owner sees it; the record follows. */
    private Condition condition = Condition.BOOTING;
    /** When the agent was first heard without its machine being on record. */
    private Instant unknownSince;

    private Instant refusedUntil;
    /** When a spot machine is taken away; null without a notice. */
    private Instant interruptionAt;
    /** Images that the machine should have cached, the latest first; null until the record's are taken over. */
    private List<String> images;

    private final Object2ObjectOpenHashMap<TaskId, AttemptState> attempts = new Object2ObjectOpenHashMap<>();
    /** Tasks that failed here; they are placed elsewhere. */
    private final Set<TaskId> avoidedTasks = new HashSet<>();

    /** An agent that was not heard yet; nobody renews its lease after {@code leaseRenewedAt} but this controller. */
    AgentState(String machine, Instant leaseRenewedAt) {
        this.machine = machine;
        this.leaseRenewedAt = leaseRenewedAt;
    }

    /** The machine on which the agent runs. */
    String machine() {
        return machine;
    }

    // ---- heartbeats

    /** The newest heartbeat, or null if none has come. */
    Heartbeat heartbeat() {
        return heartbeat;
    }

    /** Whether a heartbeat of the agent has come, by itself or in the reply to a command. */
    public boolean hasReported() {
        return heartbeat != null;
    }

    /** The incarnation of the agent that has reported. */
    public long incarnation() {
        return heartbeat.incarnation();
    }

    /** Takes over a heartbeat that is newer than the last. A later incarnation has forgotten all attempts. */
    void reported(Heartbeat newer, Instant now) {
        boolean restarted = heartbeat != null && newer.incarnation() > heartbeat.incarnation();
        heartbeat = newer;
        lastSignAt = now;
        silentSincePause = false;
        if (restarted) {
            attempts.clear();
        }
    }

    /** The agent has sent a heartbeat by itself, which is no late copy. */
    void heartbeatArrived(Heartbeat arrived, Instant now) {
        heartbeatIncarnation = arrived.incarnation();
        heartbeatSequence = arrived.sequence();
        lastHeartbeatAt = now;
    }

    /**
     * A copy that comes late. Its agent waits for no response; counted as a renewal, it would put off the moment at which a
     * machine that is gone gives its tasks back. A reply to direct commands may well have overtaken a heartbeat that is still
     * waited for: so only heartbeats that the agent sent by itself are compared.
     */
    boolean isLateCopy(Heartbeat arrived) {
        return arrived.incarnation() < heartbeatIncarnation
                || (arrived.incarnation() == heartbeatIncarnation && arrived.sequence() <= heartbeatSequence);
    }

    /** Takes over which heartbeat the former owner had last. */
    void takeOver(AgentContact contact) {
        heartbeatIncarnation = contact.incarnation();
        heartbeatSequence = contact.heartbeatSequence();
    }

    /** What a successor should know of the agent, or null if it was not heard. */
    AgentContact contact() {
        if (heartbeat == null) {
            return null;
        }
        return new AgentContact(
                machine,
                heartbeat.endpoint(),
                heartbeat.incarnation(),
                heartbeat.incarnation() == heartbeatIncarnation ? heartbeatSequence : 0,
                Math.max(heartbeat.fencingToken(), fencingToken()));
    }

    /**
     * Counts heartbeats that show that our responses don't arrive. An agent that gets our response stays here. One that
     * reports elsewhere before each heartbeat here, or whose lease runs out although we respond, does not get it: its machine
     * takes no new work until it does.
     */
    void countUnanswered(Heartbeat arrived) {
        if (heartbeat != null) {
            boolean reportedElsewhere = arrived.incarnation() > heartbeat.incarnation()
                    || arrived.sequence() > heartbeat.sequence() + 1 + callReplies;
            // An agent that got no response while this process was paused has asked others meanwhile.
            boolean counts = reportedElsewhere && !silentSincePause;
            unanswered = counts ? unanswered + 1 : 0;
        }
        callReplies = 0;
    }

    /** Whether our responses don't seem to reach the agent. */
    boolean isUnanswered() {
        return unanswered >= MAX_UNANSWERED;
    }

    /** Takes it that our responses don't reach the agent, until heartbeats show the contrary. */
    void assumeUnanswered() {
        unanswered = MAX_UNANSWERED;
    }

    /** Whether the agent has sent a heartbeat by itself that is younger than an age. */
    boolean hasHeartbeatWithin(Duration age, Instant now) {
        return lastHeartbeatAt != null && now.isBefore(lastHeartbeatAt.plus(age));
    }

    /** Whether the agent has sent no heartbeat by itself for more than a time; before the first since it was taken over. */
    boolean isSilentLongerThan(Duration silence, Instant now) {
        Instant last = heartbeat == null ? leaseRenewedAt : lastHeartbeatAt;
        return last == null || Duration.between(last, now).compareTo(silence) > 0;
    }

    /** Whether this controller was paused, and has not heard the agent since. */
    boolean isSilentSincePause() {
        return silentSincePause;
    }

    // ---- lease and pauses

    /** The last moment at which any owner could have renewed the agent's lease. */
    Instant leaseRenewedAt() {
        return leaseRenewedAt;
    }

    /** A response that renews the agent's lease goes out. */
    void renewLease(Instant now) {
        leaseRenewedAt = later(leaseRenewedAt, now);
    }

    /** When the agent was last heard, or any owner could have renewed its lease. */
    Instant lastSign() {
        return lastSignAt == null ? leaseRenewedAt : later(leaseRenewedAt, lastSignAt);
    }

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }

    /**
     * This controller was paused. The time in which it could hear nobody does not count as silence of the agent, and what
     * began or ended meanwhile was not seen. The agent's lease is not touched: nobody else can have renewed it.
     */
    void processPaused(Duration pause) {
        silentSincePause = true;
        lastHeartbeatAt = afterPause(lastHeartbeatAt, pause);
        lastSignAt = afterPause(lastSignAt, pause);
        attempts.values().forEach(AttemptState::processPaused);
    }

    private static Instant afterPause(Instant before, Duration pause) {
        return before == null ? null : before.plus(pause);
    }

    // ---- fencing

    /** The fencing token of commands and responses: the epoch of the view, and a fence that rises within it. */
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

    /** Raises the fencing token if a run command has been sent directly under the present one. */
    void raiseFencingTokenAfterDirectRun() {
        if (startedByDirectCommand) {
            raiseFencingToken();
        }
    }

    /** The view has an epoch in which this controller owns the machine. */
    void startEpoch(long newEpoch) {
        epoch = newEpoch;
        fence = 0;
        startedByDirectCommand = false;
    }

    // ---- direct calls

    /** Whether the agent is known, is not being called, and may be called again. */
    boolean mayBeCalled(Instant now) {
        return !callInFlight && (noCallBefore == null || !now.isBefore(noCallBefore)) && heartbeat != null;
    }

    /** Whether any sign of an agent that has reported is at most so old. */
    boolean hasSignWithin(Duration age, Instant now) {
        return Duration.between(lastSignAt, now).compareTo(age) <= 0;
    }

    boolean isCallInFlight() {
        return callInFlight;
    }

    void callStarted() {
        callInFlight = true;
    }

    void callEnded() {
        callInFlight = false;
    }

    void delayCalls(Instant until) {
        noCallBefore = until;
    }

    /** A heartbeat has come in the reply to a direct call. */
    void countCallReply() {
        callReplies++;
    }

    // ---- the machine

    Condition condition() {
        return condition;
    }

    void setCondition(Condition newCondition) {
        condition = newCondition;
    }

    /** When the agent was first heard without its machine being on record: now, if it was not before. */
    Instant unknownSince(Instant now) {
        if (unknownSince == null) {
            unknownSince = now;
        }
        return unknownSince;
    }

    /** The agent has refused a task: its machine gets no other for a while. */
    void refuseTasksUntil(Instant until) {
        refusedUntil = until;
    }

    boolean refusesTasks(Instant now) {
        return refusedUntil != null && now.isBefore(refusedUntil);
    }

    /** When the machine is taken away, or null without a spot interruption notice. */
    Instant interruptionAt() {
        return interruptionAt;
    }

    void interruptionNoticed(Instant until) {
        interruptionAt = until;
    }

    /** Images that the machine should have cached, the latest first; null until the record's are taken over. */
    List<String> images() {
        return images;
    }

    void setImages(List<String> latestFirst) {
        images = latestFirst;
    }

    // ---- attempts

    /** The state of an attempt; it replaces that of another attempt of the task. */
    AttemptState attempt(TaskId task, long number) {
        AttemptState attempt = attempts.get(task);
        if (attempt == null || attempt.number() != number) {
            attempt = new AttemptState(number);
            attempts.put(task, attempt);
        }
        return attempt;
    }

    /** The state of an attempt if it is the one that is known of the task, or else null. */
    AttemptState knownAttempt(TaskId task, long number) {
        AttemptState attempt = attempts.get(task);
        return attempt == null || attempt.number() != number ? null : attempt;
    }

    /** A run command for an attempt is sent directly. */
    void runSentDirectly(AttemptState attempt) {
        attempt.runSentDirectly(fencingToken());
        startedByDirectCommand = true;
    }

    /** A task has failed here. */
    void avoid(TaskId task) {
        avoidedTasks.add(task);
    }

    /** Whether a task has failed here and is placed elsewhere. */
    boolean avoids(TaskId task) {
        return avoidedTasks.contains(task);
    }
}
