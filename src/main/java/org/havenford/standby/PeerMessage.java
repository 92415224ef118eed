package org.havenford.standby;

import java.util.List;
import org.havenford.coordination.agents.AgentContact;

/** What controllers tell each other over a direct connection. */
sealed interface PeerMessage {
    /** First message in each direction: who speaks. Sent again when the incarnation of the node changes. */
    record Hello(String node, long incarnation) implements PeerMessage {}

    /** Nothing else was sent for a while. */
    record Heartbeat() implements PeerMessage {}

    /** What follows, until the next of these, is all that the sender's machines and open decisions are. */
    record SnapshotBegin() implements PeerMessage {}

    /** What the sender knows of machines for which the receiver stands by. */
    record AgentContacts(List<AgentContact> contacts) implements PeerMessage {}

    /** Machines for which the receiver stands by no longer. */
    record MachinesGone(List<String> machines) implements PeerMessage {}

    /** A transaction on these keys is about to be sent to the state service. */
    record Intent(long number, List<String> keys) implements PeerMessage {}

    /** How a transaction ended; the revision is 0 unless it was committed. */
    record Outcome(long number, boolean known, long revision) implements PeerMessage {}

    /** Can the receiver reach this incarnation of a node? */
    record ReachabilityQuestion(String node, long incarnation) implements PeerMessage {}

    /** Whether the sender can reach it. */
    record ReachabilityAnswer(String node, long incarnation, boolean reachable) implements PeerMessage {}
}
