package org.havenford.coordination.failover;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.havenford.coordination.agents.AgentContact;
import org.havenford.storage.CommitObserver;
import org.havenford.storage.records.ClusterView;
import org.havenford.transport.EventLoop;

/** What a standby sees of the controller that it runs in, and may ask of it. All calls are made on the event loop. */
public interface StandbyHost {
    /** Told of what a standby acts on. */
    interface Observer extends CommitObserver {
        /** The view in force has changed. */
        void viewChanged();

        /** This process was paused: that no peer was heard meanwhile says nothing of the peers. */
        void processPaused();
    }

    /** The controller's loop. */
    EventLoop loop();

    /** An event that did not come through the loop begins. */
    void eventStarted();

    /** Notifies the observer from now on, in place of the one before. */
    void observe(Observer observer);

    /** The view in force. */
    ClusterView view();

    /** The incarnation of this node in the view, or 0. */
    long incarnation();

    /** Whether this node may decide: its lease holds, and its replica has passed the view in force. */
    boolean mayDecide();

    /** Store revision that the replica has reached. */
    long replicaRevision();

    /** Mod revision of the view in force; 0 if no view is stored. */
    long viewRevision();

    /** Whether a member may be evicted now. */
    boolean mayEvict(String node);

    /**
     * Asks a member through the store whether it is alive.
     *
     * @param asked is given the mod revision of the liveness probe, 0 if it was not made
     */
    void probe(String node, long incarnation, LongConsumer asked);

    /** Whether a probe still stands, as far as the replica shows: nobody has answered, replaced or withdrawn it. */
    boolean probeIsUnanswered(String node, long probeRevision);

    /** Withdraws a probe. */
    void withdrawProbe(String node, long probeRevision);

    /** Evicts a member that did not answer a probe; tells whether the view without it was committed. */
    void evict(String node, long incarnation, long probeRevision, Consumer<Boolean> done);

    /** What is known of the agents of the machines that this node owns. */
    List<AgentContact> agentContacts();

    /** How urgent the claims on a machine are: 0 is the most urgent; without any claim, the largest. */
    int urgency(String machine);

    /** Sends this node's fencing token to the agent of a machine that was taken over, which answers with its status. */
    void contact(AgentContact contact);
}
