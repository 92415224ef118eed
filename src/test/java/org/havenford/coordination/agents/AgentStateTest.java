package org.havenford.coordination.agents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.havenford.protocol.Heartbeat;
import org.havenford.protocol.TaskId;
import org.junit.jupiter.api.Test;

/** Tests the state that an owner derives from the heartbeats of one agent. */
class AgentStateTest {
    private static final Instant START = Instant.EPOCH;
    private static final TaskId TASK = new TaskId("job", 0);

    private final AgentState agent = new AgentState("host-1", START);

    private static Heartbeat heartbeat(long incarnation, long sequence) {
        return new Heartbeat("host-1", "10.0.0.1:9000", "small", "a", false, incarnation, sequence, 0, null, List.of());
    }

    private void receiveUnsolicited(Heartbeat heartbeat, Instant now) {
        agent.recordUnsolicitedHeartbeat(heartbeat, now);
        agent.countMissedResponses(heartbeat);
        agent.recordHeartbeat(heartbeat, now);
    }

    @Test
    void aHeartbeatThatIsNoNewerIsOutdated() {
        receiveUnsolicited(heartbeat(2, 5), START);
        assertTrue(agent.isOutdated(heartbeat(2, 5)));
        assertTrue(agent.isOutdated(heartbeat(1, 9)));
        assertFalse(agent.isOutdated(heartbeat(2, 6)));
        assertFalse(agent.isOutdated(heartbeat(3, 0)));
    }

    @Test
    void outdatedHeartbeatsAreDetectedFromTheFormerOwnersContact() {
        agent.restore(new AgentContact("host-1", "10.0.0.1:9000", 2, 5, 0));
        assertTrue(agent.isOutdated(heartbeat(2, 5)));
        assertFalse(agent.isOutdated(heartbeat(2, 6)));
    }

    @Test
    void aReplyToACommandMayOvertakeAHeartbeat() {
        receiveUnsolicited(heartbeat(1, 1), START);
        agent.recordHeartbeat(heartbeat(1, 3), START);
        assertFalse(agent.isOutdated(heartbeat(1, 2)));
    }

    @Test
    void theLeaseOfALaterIncarnationIsNotCountedFromTheHeartbeatsOfAnEarlierOne() {
        receiveUnsolicited(heartbeat(1, 1), START);
        agent.renewLease(START);
        agent.recordHeartbeat(heartbeat(2, 2), START.plusSeconds(5));
        assertEquals(START.plusSeconds(5), agent.leaseCountedFrom());
        agent.recordHeartbeat(heartbeat(2, 3), START.plusSeconds(9));
        assertEquals(START.plusSeconds(5), agent.leaseCountedFrom());
    }

    @Test
    void theLeaseOfAnIncarnationThatTheFormerOwnerDidNotSeeIsNotCountedFromTheTakeover() {
        agent.restore(new AgentContact("host-1", "10.0.0.1:9000", 1, 5, 0));
        agent.recordHeartbeat(heartbeat(2, 6), START.plusSeconds(5));
        assertEquals(START.plusSeconds(5), agent.leaseCountedFrom());
    }

    @Test
    void aReplyOfAKnownIncarnationDoesNotProlongTheLeaseAfterATakeover() {
        agent.restore(new AgentContact("host-1", "10.0.0.1:9000", 1, 5, 0));
        agent.recordHeartbeat(heartbeat(1, 6), START.plusSeconds(5));
        assertEquals(START, agent.leaseCountedFrom());
    }

    @Test
    void skippedSequencesCountAsMissedResponses() {
        receiveUnsolicited(heartbeat(1, 1), START);
        receiveUnsolicited(heartbeat(1, 3), START);
        assertFalse(agent.isMissingResponses());
        receiveUnsolicited(heartbeat(1, 5), START);
        assertTrue(agent.isMissingResponses());
        receiveUnsolicited(heartbeat(1, 6), START);
        assertFalse(agent.isMissingResponses());
    }

    @Test
    void repliesToCommandsDoNotCountAsMissedResponses() {
        receiveUnsolicited(heartbeat(1, 1), START);
        for (int round = 1; round <= 3; round++) {
            agent.countCallReply();
            receiveUnsolicited(heartbeat(1, 1 + 2L * round), START);
        }
        assertFalse(agent.isMissingResponses());
    }

    @Test
    void aPauseDoesNotCountAsSilenceOfTheAgent() {
        Duration second = Duration.ofSeconds(1);
        receiveUnsolicited(heartbeat(1, 1), START);
        Instant later = START.plusSeconds(10);
        assertTrue(agent.isSilentLongerThan(second, later));
        agent.processPaused(Duration.ofSeconds(10));
        assertFalse(agent.isSilentLongerThan(second, later));
        assertTrue(agent.isSilentSincePause());
        assertEquals(START, agent.leaseCountedFrom());
    }

    @Test
    void anAgentThatOnlyRepliesToCommandsHasNoUnsolicitedHeartbeat() {
        agent.recordHeartbeat(heartbeat(1, 1), START);
        assertTrue(agent.hasReported());
        assertFalse(agent.hasHeartbeatWithin(Duration.ofDays(1), START));
        assertTrue(agent.isSilentLongerThan(Duration.ofDays(1), START));
    }

    @Test
    void fencingTokensRiseWithinAnEpochAndWithEachNewEpoch() {
        agent.startEpoch(1);
        long first = agent.fencingToken();
        agent.raiseFencingTokenAfterDirectRun();
        assertEquals(first, agent.fencingToken());
        AttemptState attempt = agent.getOrCreateAttempt(TASK, 1);
        agent.recordDirectRun(attempt);
        assertFalse(attempt.isDirectRunFenced(first));
        agent.raiseFencingTokenAfterDirectRun();
        assertTrue(attempt.isDirectRunFenced(agent.fencingToken()));
        long second = agent.fencingToken();
        agent.startEpoch(2);
        assertTrue(agent.lowestFencingToken() > second);
        assertEquals(agent.lowestFencingToken(), agent.fencingToken());
    }

    @Test
    void aLaterIncarnationClearsAllAttempts() {
        receiveUnsolicited(heartbeat(1, 1), START);
        AttemptState attempt = agent.getOrCreateAttempt(TASK, 1);
        receiveUnsolicited(heartbeat(1, 2), START);
        assertSame(attempt, agent.findAttempt(TASK, 1));
        assertNull(agent.findAttempt(TASK, 2));
        receiveUnsolicited(heartbeat(2, 0), START);
        assertNull(agent.findAttempt(TASK, 1));
        assertNotSame(attempt, agent.getOrCreateAttempt(TASK, 1));
    }

    @Test
    void aContactHoldsTheNewestSequenceAndToken() {
        assertNull(agent.contact());
        agent.startEpoch(1);
        receiveUnsolicited(heartbeat(1, 7), START);
        assertEquals(new AgentContact("host-1", "10.0.0.1:9000", 1, 7, agent.fencingToken()), agent.contact());
        agent.recordHeartbeat(heartbeat(2, 1), START);
        assertEquals(new AgentContact("host-1", "10.0.0.1:9000", 2, 0, agent.fencingToken()), agent.contact());
    }
}
