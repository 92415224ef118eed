package org.havenford.standby;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import org.havenford.coordination.agents.AgentContact;
import org.havenford.standby.FrameCodec.Frame;
import org.havenford.standby.PeerMessage.AgentContacts;
import org.havenford.standby.PeerMessage.Hello;
import org.havenford.standby.PeerMessage.Intent;
import org.havenford.standby.PeerMessage.MachinesGone;
import org.havenford.standby.PeerMessage.Outcome;
import org.havenford.standby.PeerMessage.SnapshotBegin;

/**
 * State received from a peer: the agent contacts of its machines and its open decisions. It shows which transactions
 * the peer intended and which outcomes it reported; only the store shows which of them were committed.
 */
final class Follower {
    /** Limit of a peer's open decisions. A correct peer stays far below it, as its queue to the store is far shorter. */
    static final int MAX_OPEN_DECISIONS = 10_000;

    static final int MAX_UNKNOWN_OUTCOMES = 1000;
    static final int MAX_MACHINES = 100_000;

    private final Map<String, AgentContact> contactsByMachine = new HashMap<>();
    private final Map<Long, List<String>> openDecisions = new HashMap<>();
    /** Decisions whose outcome the peer reported as unknown, the oldest first. */
    private final LinkedHashSet<Long> unknownOutcomes = new LinkedHashSet<>();

    private String node;
    private long incarnation;
    private long expectedSequence;
    private long highestRevision;

    /** Applies the next frame of the connection. */
    void apply(Frame frame) throws MalformedFrameException {
        if (frame.sequence() != expectedSequence) {
            throw new MalformedFrameException(
                    "frame has sequence " + frame.sequence() + ", expected " + expectedSequence);
        }
        expectedSequence++;
        PeerMessage message = frame.message();
        if (node == null && !(message instanceof Hello)) {
            throw new MalformedFrameException("first message must be a hello, received "
                    + message.getClass().getSimpleName());
        }
        if (message instanceof Hello hello) {
            handleHello(hello);
        } else if (message instanceof SnapshotBegin) {
            clear();
        } else if (message instanceof AgentContacts agentContacts) {
            agentContacts.contacts().forEach(contact -> contactsByMachine.put(contact.machine(), contact));
        } else if (message instanceof MachinesGone gone) {
            gone.machines().forEach(contactsByMachine::remove);
        } else if (message instanceof Intent intent) {
            openDecisions.put(intent.number(), intent.keys());
        } else if (message instanceof Outcome outcome) {
            handleOutcome(outcome);
        }
        if (openDecisions.size() > MAX_OPEN_DECISIONS || contactsByMachine.size() > MAX_MACHINES) {
            throw new MalformedFrameException(openDecisions.size() + " open decisions and " + contactsByMachine.size()
                    + " machines exceed the limits of " + MAX_OPEN_DECISIONS + " and " + MAX_MACHINES);
        }
    }

    private void handleHello(Hello hello) throws MalformedFrameException {
        if (node != null && !node.equals(hello.node())) {
            throw new MalformedFrameException("hello names node \"" + hello.node() + "\", expected \"" + node + "\"");
        }
        if (hello.incarnation() < incarnation) {
            throw new MalformedFrameException(
                    "hello has incarnation " + hello.incarnation() + ", expected at least " + incarnation);
        }
        if (hello.incarnation() != incarnation) {
            clear();
            highestRevision = 0;
        }
        node = hello.node();
        incarnation = hello.incarnation();
    }

    private void clear() {
        contactsByMachine.clear();
        openDecisions.clear();
        unknownOutcomes.clear();
    }

    /** Closes a decision. One with an unknown outcome may still be executed later; only the newest of these are kept. */
    private void handleOutcome(Outcome outcome) {
        openDecisions.remove(outcome.number());
        if (!outcome.known()) {
            unknownOutcomes.add(outcome.number());
            if (unknownOutcomes.size() > MAX_UNKNOWN_OUTCOMES) {
                unknownOutcomes.remove(unknownOutcomes.iterator().next());
            }
        }
        highestRevision = Math.max(highestRevision, outcome.revision());
    }

    /** Returns the name of the peer, or null before its hello. */
    String node() {
        return node;
    }

    /** Returns the incarnation of the peer, or 0 while it is not a member. */
    long incarnation() {
        return incarnation;
    }

    /** Returns the contacts of the peer's machines for which this node is the standby. */
    List<AgentContact> contacts() {
        return new ArrayList<>(contactsByMachine.values());
    }

    /** Returns the number of decisions whose outcome was not reported, or was reported as unknown. */
    int openDecisions() {
        return openDecisions.size() + unknownOutcomes.size();
    }

    /** Returns the highest revision of a commit that the peer has reported. */
    long highestRevision() {
        return highestRevision;
    }

    /**
     * Returns whether a replica contains everything that the peer committed under a view that has been replaced.
     * Transactions conditional on that view are committed before the revision of the next view, even if the peer could
     * not report them.
     */
    boolean replicaContainsAllCommits(long replicaRevision, long nextViewRevision) {
        return replicaRevision >= Math.max(nextViewRevision, highestRevision);
    }
}
