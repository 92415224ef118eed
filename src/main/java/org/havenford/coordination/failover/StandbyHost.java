package org.havenford.coordination.failover;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.havenford.coordination.agents.AgentContact;
import org.havenford.storage.CommitObserver;
import org.havenford.storage.records.ClusterView;
import org.havenford.transport.EventLoop;

/** What a standby sees of the controller that it runs in, and may ask of it. All of it on the event loop. */
public interface StandbyHost {
    /** Told of what a standby acts on. */
    interface Observer extends CommitObserver {
        /** The view in force has changed. */
        void viewChanged();

        /** This process has stood still: silence meanwhile was not seen. */
        void processPaused();
    }

    /** The controller's loop. */
    EventLoop loop();

    /** An event that did not come through the loop begins. */
    void eventStarted();

    /** Has the observer told from now on. */
    void observe(Observer observer);

    /** The view in force. */
    ClusterView view();

    /** The incarnation of this node in the view, or 0. */
    long incarnation();

    /** Whether this node may decide: its lease holds, and its replica has passed the view in force. */
    boolean mayDecide();

    /** Edition that the replica has reached. */
    long replicaRevision();

    /** Stamp of the view in force. */
    long viewRevision();

    /** Whether a member may be evicted now. */
    boolean mayEvict(String node);

    /** Asks a member through the state service whether it is alive; tells the stamp of the question, 0 if it failed. */
    void probe(String node, long incarnation, LongConsumer asked);

    /** Whether a question still stands, as far as the replica shows: nobody has answered, replaced or withdrawn it. */
    boolean probeIsUnanswered(String node, long stamp);

    /** Takes a question back. */
    void withdrawProbe(String node, long stamp);

    /** Evicts a member that did not answer; tells whether the view without it was committed. */
    void evict(String node, long incarnation, long challengeStamp, Consumer<Boolean> done);

    /** What is known of the workers of the machines that this node owns. */
    List<AgentContact> agentContacts();

    /** How urgent the claims on a machine are: 0 is the most urgent; without any claim, the largest. */
    int urgency(String machine);

    /** Sends this node's token to the worker of a machine that was taken over, which answers with a report. */
    void contact(AgentContact contact);
}
