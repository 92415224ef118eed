package org.havenford.coordination.failover;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.havenford.coordination.agents.AgentContact;
import org.havenford.storage.CommitObserver;
import org.havenford.storage.records.ClusterView;
import org.havenford.transport.EventLoop;

/** The operations of a controller that its warm standby may use. All methods must be called on the event loop. */
public interface StandbyHost {
    /** Receives the commits, view changes and process pauses of the controller. */
    interface Observer extends CommitObserver {
        /** Called after the current view has changed. */
        void viewChanged();

        /** Called after a pause of this process. Silence of peers during the pause is no evidence of their failure. */
        void processPaused();
    }

    /** Returns the controller's event loop. */
    EventLoop loop();

    /**
     * Must be called at the start of each event that is not dispatched by {@link #loop()}, to detect process pauses.
     */
    void eventStarted();

    /** Registers the observer, which replaces the previous one. */
    void observe(Observer observer);

    /** Returns the current view. */
    ClusterView view();

    /** Returns the incarnation of this node, or 0 if it is not a member of the current view. */
    long incarnation();

    /**
     * Returns whether this node may make decisions: its lease is valid, it is a member of the current view, and this
     * view was verified recently.
     */
    boolean mayDecide();

    /** Returns the store revision that the replica has reached. */
    long replicaRevision();

    /** Returns the mod revision of the current view, or 0 if no view is stored. */
    long viewRevision();

    /** Returns whether a member may be evicted now. */
    boolean mayEvict(String node);

    /**
     * Creates a liveness probe for a member in the store.
     *
     * @param callback receives the mod revision of the probe, or 0 if it was not created
     */
    void createLivenessProbe(String node, long incarnation, LongConsumer callback);

    /** Returns whether, according to the replica, a probe has been neither answered nor replaced nor withdrawn. */
    boolean isProbeUnanswered(String node, long probeRevision);

    /** Withdraws a probe by deleting its key, unless the key has changed since. */
    void withdrawProbe(String node, long probeRevision);

    /**
     * Evicts a member that did not answer a probe.
     *
     * @param callback receives whether the view without the member was committed
     */
    void evict(String node, long incarnation, long probeRevision, Consumer<Boolean> callback);

    /**
     * Returns the endpoint, the latest heartbeat and the fencing token of each known agent on the machines that this
     * node owns.
     */
    List<AgentContact> agentContacts();

    /**
     * Returns the rank of the highest priority among the claims on a machine; 0 is the highest priority, and the
     * largest value means no claims.
     */
    int priorityRank(String machine);

    /**
     * Sends this node's fencing token to the agent of a machine that this node has taken over. The agent answers with
     * its status.
     */
    void contactAgent(AgentContact contact);
}
