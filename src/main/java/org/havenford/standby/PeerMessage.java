package org.havenford.standby;

import java.util.List;
import org.havenford.coordination.agents.AgentContact;

/** Messages that controllers exchange over a direct connection. */
sealed interface PeerMessage {
    /** First message in each direction; it identifies the sender. Sent again when the incarnation of the sender changes. */
    record Hello(String node, long incarnation) implements PeerMessage {}

    /** Shows that the sender is alive; sent when no other message was sent recently. */
    record Heartbeat() implements PeerMessage {}

    /** Start of a snapshot of the sender's contacts and open decisions, which replaces everything sent before. */
    record SnapshotBegin() implements PeerMessage {}

    /** New or changed agent contacts of machines for which the receiver is the standby. */
    record AgentContacts(List<AgentContact> contacts) implements PeerMessage {}

    /** Machines for which the receiver is no longer the standby. */
    record MachinesGone(List<String> machines) implements PeerMessage {}

    /** Announces a transaction on these keys that is about to be sent to the store; long lists of keys are truncated. */
    record Intent(long number, List<String> keys) implements PeerMessage {}

    /** Outcome of a transaction, if the sender knows it; the revision is 0 unless the transaction was committed. */
    record Outcome(long number, boolean known, long revision) implements PeerMessage {}

    /** Asks whether the receiver can reach this incarnation of a node. */
    record ReachabilityQuestion(String node, long incarnation) implements PeerMessage {}

    /** States whether the sender can reach this incarnation of a node. */
    record ReachabilityAnswer(String node, long incarnation, boolean reachable) implements PeerMessage {}
}
