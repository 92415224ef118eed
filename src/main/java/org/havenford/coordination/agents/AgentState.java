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
 * The state that a controller keeps of one agent and its machine while the controller owns the machine. It is held in
 * memory only, so a new owner starts with an empty state. Instants are readings of the monotonic clock; null means never.
 */
public final class AgentState {
    /** Consecutive heartbeats showing that responses do not reach the agent after which its machine counts as silent. */
    private static final int MISSED_RESPONSES_THRESHOLD = 2;
    /** Width of the fence counter in the low bits of a fencing token; the bits above it hold the epoch. */
    private static final int FENCE_COUNTER_BITS = 32;
    /** Stands for a missing incarnation or sequence; lower than any real value. */
    private static final long UNSET = -1;

    private final String machine;

    private Heartbeat heartbeat;
    /** The latest incarnation of the agent that this or a former owner has seen. */
    private long knownIncarnation = UNSET;
    /** Incarnation of the newest unsolicited heartbeat, that is, one not contained in the reply to a direct call. */
    private long heartbeatIncarnation = UNSET;

    /** Sequence number of the newest unsolicited heartbeat. */
    private long heartbeatSequence = UNSET;
    /** When the newest heartbeat was received, unsolicited or in the reply to a direct call. */
    private Instant lastSeenAt;
    /** When the newest unsolicited heartbeat was received; only these renew the agent's lease. */
    private Instant lastUnsolicitedAt;
    /** The latest time at which any owner can have renewed the agent's lease, or its known incarnation can have started. */
    private Instant leaseCountedFrom;

    private LeaseOrigin leaseOrigin = LeaseOrigin.TAKEOVER;
    /** Whether no heartbeat has been received since this process was last paused. */
    private boolean silentSincePause;
    /** Consecutive heartbeats before which the agent had reported to another controller, as it does without a response. */
    private int missedResponses;

    private long epoch;
    private long fenceCounter;
    /** Whether a run command has been sent in a direct call with the current fencing token. */
    private boolean directRunSent;

    private boolean callInFlight;
    private Instant callsDelayedUntil;
    /** Replies to direct calls since the last unsolicited heartbeat; each advances the agent's sequence number as well. */
    private int callReplies;

    /** The condition of the machine as determined by this controller; the stored status is updated from it later. */
    private Condition condition = Condition.BOOTING;
    /** When the agent first reported while its machine had no record. */
    private Instant unrecordedSince;

    /** End of the backoff after the agent refused a task. */
    private Instant tasksWithheldUntil;
    /** When the spot machine will be reclaimed; null unless a spot interruption notice was received. */
    private Instant interruptionAt;
    /** Images expected in the machine's cache, most recently used first; null until copied from the record. */
    private List<String> images;

    private final Object2ObjectOpenHashMap<TaskId, AttemptState> attempts = new Object2ObjectOpenHashMap<>();
    /** Tasks that failed on this machine and should be placed on others. */
    private final Set<TaskId> avoidedTasks = new HashSet<>();

    /**
     * Creates the state of an agent that has not reported yet. After {@code leaseCountedFrom} no other controller can renew
     * the agent's lease.
     */
    AgentState(String machine, Instant leaseCountedFrom) {
        this.machine = machine;
        this.leaseCountedFrom = leaseCountedFrom;
    }

    /** Returns the name of the machine on which the agent runs. */
    String machine() {
        return machine;
    }

    /** Returns the newest heartbeat, or null if none has been received. */
    Heartbeat heartbeat() {
        return heartbeat;
    }

    /** Returns whether a heartbeat has been received, unsolicited or in the reply to a direct call. */
    public boolean hasReported() {
        return heartbeat != null;
    }

    /** Returns the agent's incarnation in its newest heartbeat. Requires that the agent {@link #hasReported}. */
    public long incarnation() {
        return heartbeat.incarnation();
    }

    /** Stores a heartbeat that is newer than the last one. A later incarnation of the agent has lost all its attempts. */
    void recordHeartbeat(Heartbeat newer, Instant now) {
        boolean restarted = heartbeat != null && newer.incarnation() > heartbeat.incarnation();
        if (newer.incarnation() > knownIncarnation) {
            // The lease of an incarnation counts from its start, of which only the latest possible time is known.
            knownIncarnation = newer.incarnation();
            countLeaseFrom(now, LeaseOrigin.INCARNATION);
        }
        heartbeat = newer;
        lastSeenAt = now;
        silentSincePause = false;
        if (restarted) {
            attempts.clear();
        }
    }

    /** Records the receipt of an unsolicited heartbeat that is not outdated. */
    void recordUnsolicitedHeartbeat(Heartbeat arrived, Instant now) {
        heartbeatIncarnation = arrived.incarnation();
        heartbeatSequence = arrived.sequence();
        lastUnsolicitedAt = now;
    }

    /**
     * Returns whether a received heartbeat is an outdated or duplicate copy. The agent no longer waits for its response, so
     * treating it as a lease renewal would delay the release of the tasks of a machine that is gone. Only unsolicited
     * heartbeats are compared, because the reply to a direct call may overtake a heartbeat that is still awaiting its
     * response.
     */
    boolean isOutdated(Heartbeat arrived) {
        return arrived.incarnation() < heartbeatIncarnation
                || (arrived.incarnation() == heartbeatIncarnation && arrived.sequence() <= heartbeatSequence);
    }

    /** Restores the newest unsolicited heartbeat that the former owner received, so that copies of it are detected. */
    void restore(AgentContact contact) {
        knownIncarnation = contact.incarnation();
        heartbeatIncarnation = contact.incarnation();
        heartbeatSequence = contact.heartbeatSequence();
    }

    /** Returns what a new owner of the machine needs for calling the agent, or null if the agent has not reported. */
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
     * Counts consecutive heartbeats showing that responses do not reach the agent. An agent that receives a response sends
     * its next heartbeat to the same controller. A gap in the sequence numbers means that the agent reported to another
     * controller in between, and a new incarnation usually means that its lease expired; in both cases the response did not
     * reach it. Its machine takes no new tasks until responses arrive again.
     */
    void countMissedResponses(Heartbeat arrived) {
        if (heartbeat != null) {
            boolean reportedElsewhere = arrived.incarnation() > heartbeat.incarnation()
                    || arrived.sequence() > heartbeat.sequence() + 1 + callReplies;
            // While this process was paused, the agent received no response and therefore reported to other
            // controllers.
            boolean counts = reportedElsewhere && !silentSincePause;
            missedResponses = counts ? missedResponses + 1 : 0;
        }
        callReplies = 0;
    }

    /** Returns whether heartbeats indicate that responses do not reach the agent. */
    boolean isMissingResponses() {
        return missedResponses >= MISSED_RESPONSES_THRESHOLD;
    }

    /** Assumes that responses do not reach the agent until its heartbeats show that they do. */
    void assumeMissingResponses() {
        missedResponses = MISSED_RESPONSES_THRESHOLD;
    }

    /** Returns whether an unsolicited heartbeat was received less than {@code age} ago. */
    boolean hasHeartbeatWithin(Duration age, Instant now) {
        return lastUnsolicitedAt != null && now.isBefore(lastUnsolicitedAt.plus(age));
    }

    /** Returns whether the agent has sent an unsolicited heartbeat in its newest known incarnation. */
    boolean hasReportedInIncarnation() {
        return heartbeat != null && heartbeat.incarnation() == heartbeatIncarnation;
    }

    /**
     * Returns whether no unsolicited heartbeat was received for longer than {@code silence}. Before any heartbeat, the time
     * counts from the latest possible lease renewal by a former owner.
     */
    boolean isSilentLongerThan(Duration silence, Instant now) {
        Instant last = heartbeat == null ? leaseCountedFrom : lastUnsolicitedAt;
        return last == null || Duration.between(last, now).compareTo(silence) > 0;
    }

    /** Returns whether no heartbeat has been received since this process was last paused. */
    boolean isSilentSincePause() {
        return silentSincePause;
    }

    /**
     * Returns from when the agent's lease is counted: the latest time at which any owner can have renewed it, or at which
     * the agent's incarnation can have started.
     */
    Instant leaseCountedFrom() {
        return leaseCountedFrom;
    }

    /** Records that a response that renews the agent's lease is being sent. */
    void renewLease(Instant now) {
        countLeaseFrom(now, LeaseOrigin.RESPONSE);
    }

    private void countLeaseFrom(Instant from, LeaseOrigin origin) {
        if (!from.isBefore(leaseCountedFrom)) {
            leaseCountedFrom = from;
            leaseOrigin = origin;
        }
    }

    /** Returns the event from which the agent's lease is counted. */
    LeaseOrigin leaseOrigin() {
        return leaseOrigin;
    }

    /** Returns when the last heartbeat was received or any owner can last have renewed the lease, whichever is later. */
    Instant lastActivity() {
        return lastSeenAt == null ? leaseCountedFrom : later(leaseCountedFrom, lastSeenAt);
    }

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }

    /**
     * Adjusts the state after a pause of this process. The pause does not count as silence of the agent, because no
     * heartbeat could be received, and phases of attempts that began or ended during it were not observed. The time of the
     * last lease renewal stays, because no other controller can have renewed the lease.
     */
    void processPaused(Duration pause) {
        silentSincePause = true;
        lastUnsolicitedAt = afterPause(lastUnsolicitedAt, pause);
        lastSeenAt = afterPause(lastSeenAt, pause);
        attempts.values().forEach(AttemptState::processPaused);
    }

    private static Instant afterPause(Instant before, Duration pause) {
        return before == null ? null : before.plus(pause);
    }

    /** Returns the fencing token of commands and responses: the view's epoch and a counter that grows within it. */
    long fencingToken() {
        return epoch << FENCE_COUNTER_BITS | fenceCounter;
    }

    /** Returns the lowest fencing token of the current epoch. */
    long lowestFencingToken() {
        return epoch << FENCE_COUNTER_BITS;
    }

    /** Raises the fencing token above that of any command sent so far. */
    void raiseFencingToken() {
        fenceCounter++;
        directRunSent = false;
    }

    /** Raises the fencing token if a run command was sent in a direct call with the current one. */
    void raiseFencingTokenAfterDirectRun() {
        if (directRunSent) {
            raiseFencingToken();
        }
    }

    /** Starts a new epoch of the view, in which this controller owns the machine. */
    void startEpoch(long newEpoch) {
        epoch = newEpoch;
        fenceCounter = 0;
        directRunSent = false;
    }

    /** Returns whether the agent has reported, no direct call is in flight, and the delay after the last call is over. */
    boolean mayBeCalled(Instant now) {
        return !callInFlight && (callsDelayedUntil == null || !now.isBefore(callsDelayedUntil)) && heartbeat != null;
    }

    /** Returns whether the last heartbeat of an agent that {@link #hasReported} is at most {@code age} old. */
    boolean wasSeenWithin(Duration age, Instant now) {
        return Duration.between(lastSeenAt, now).compareTo(age) <= 0;
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
        callsDelayedUntil = until;
    }

    /** Counts a heartbeat that was received in the reply to a direct call. */
    void countCallReply() {
        callReplies++;
    }

    Condition condition() {
        return condition;
    }

    void setCondition(Condition newCondition) {
        condition = newCondition;
    }

    /** Returns when the agent first reported while its machine had no record, and sets it to {@code now} the first time. */
    Instant unrecordedSince(Instant now) {
        if (unrecordedSince == null) {
            unrecordedSince = now;
        }
        return unrecordedSince;
    }

    /** Withholds new tasks from the machine until a given time, because the agent refused one. */
    void withholdTasksUntil(Instant until) {
        tasksWithheldUntil = until;
    }

    boolean withholdsTasks(Instant now) {
        return tasksWithheldUntil != null && now.isBefore(tasksWithheldUntil);
    }

    /** Returns when the spot machine will be reclaimed, or null without a spot interruption notice. */
    Instant interruptionAt() {
        return interruptionAt;
    }

    void recordInterruptionNotice(Instant reclaimedAt) {
        interruptionAt = reclaimedAt;
    }

    /** Returns the images expected in the cache, most recently used first, or null until copied from the record. */
    List<String> images() {
        return images;
    }

    void setImages(List<String> latestFirst) {
        images = latestFirst;
    }

    /** Returns the state of an attempt. A new state replaces that of a different attempt of the same task. */
    AttemptState getOrCreateAttempt(TaskId task, long number) {
        AttemptState attempt = attempts.get(task);
        if (attempt == null || attempt.number() != number) {
            attempt = new AttemptState(number);
            attempts.put(task, attempt);
        }
        return attempt;
    }

    /** Returns the state of an attempt, or null if this attempt of the task is not tracked. */
    AttemptState findAttempt(TaskId task, long number) {
        AttemptState attempt = attempts.get(task);
        return attempt == null || attempt.number() != number ? null : attempt;
    }

    /** Records that a run command for an attempt is being sent in a direct call. */
    void recordDirectRun(AttemptState attempt) {
        attempt.recordDirectRun(fencingToken());
        directRunSent = true;
    }

    /** Records that a task failed on this machine. */
    void avoid(TaskId task) {
        avoidedTasks.add(task);
    }

    /** Returns whether a task failed on this machine and should be placed on another. */
    boolean avoids(TaskId task) {
        return avoidedTasks.contains(task);
    }
}
