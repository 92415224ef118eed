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
 * What a peer has told of its machines and decisions. The stream says what the peer meant to do and how far it was when it
 * was heard last; what it did is told by the state service alone.
 */
final class Follower {
    /** Beyond this a peer's bookkeeping is broken: its own queue to the state service is far shorter. */
    static final int MAX_OPEN = 10_000;

    static final int MAX_UNKNOWN = 1000;
    static final int MAX_MACHINES = 100_000;

    private final Map<String, AgentContact> machines = new HashMap<>();
    private final Map<Long, List<String>> open = new HashMap<>();
    /** Decisions whose outcome the peer does not know either, the oldest first. */
    private final LinkedHashSet<Long> unknown = new LinkedHashSet<>();

    private String node;
    private long incarnation;
    private long expectedSequence;
    private long highestRevision;

    /** Takes the next frame of the connection. */
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
        } else if (message instanceof AgentContacts told) {
            told.contacts().forEach(contact -> machines.put(contact.machine(), contact));
        } else if (message instanceof MachinesGone gone) {
            gone.machines().forEach(machines::remove);
        } else if (message instanceof Intent intent) {
            open.put(intent.number(), intent.keys());
        } else if (message instanceof Outcome outcome) {
            finished(outcome);
        }
        if (open.size() > MAX_OPEN || machines.size() > MAX_MACHINES) {
            throw new MalformedFrameException(open.size() + " open decisions and " + machines.size()
                    + " machines exceed the limits of " + MAX_OPEN + " and " + MAX_MACHINES);
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
        machines.clear();
        open.clear();
        unknown.clear();
    }

    /** A transaction whose outcome the peer does not know may be carried out late; of these only the last are kept. */
    private void finished(Outcome outcome) {
        open.remove(outcome.number());
        if (!outcome.known()) {
            unknown.add(outcome.number());
            if (unknown.size() > MAX_UNKNOWN) {
                unknown.remove(unknown.iterator().next());
            }
        }
        highestRevision = Math.max(highestRevision, outcome.revision());
    }

    /** Name of the peer, or null before its hello. */
    String node() {
        return node;
    }

    /** Incarnation of the peer, 0 while it is no member. */
    long incarnation() {
        return incarnation;
    }

    /** Machines for which this node stands by. */
    List<AgentContact> machines() {
        return new ArrayList<>(machines.values());
    }

    /** Decisions whose outcome the peer has not told. */
    int openDecisions() {
        return open.size() + unknown.size();
    }

    /** Newest revision at which the peer has committed something, as far as it has told. */
    long highestRevision() {
        return highestRevision;
    }

    /**
     * Whether a replica holds all that the peer committed under a view that has been replaced: what was guarded by the view
     * lies before the revision of the next one, also where the stream was cut before it told of it.
     */
    boolean hasSeenAll(long replicaRevision, long nextViewRevision) {
        return replicaRevision >= Math.max(nextViewRevision, highestRevision);
    }
}
