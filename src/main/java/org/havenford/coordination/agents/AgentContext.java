package org.havenford.coordination.agents;

import org.havenford.coordination.membership.Membership;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.transport.EventLoop;

/**
 * Dependencies shared by the classes that manage agents.
 *
 * @param loop the controller's event loop and its clocks
 * @param settings the platform settings
 * @param clusterState the typed, read-only view of the store replica
 * @param replica the local copy of the store
 * @param store the client of the store
 * @param membership the cluster view and this controller's lease
 */
public record AgentContext(
        EventLoop loop,
        PlatformSettings settings,
        ClusterState clusterState,
        StoreReplica replica,
        StoreClient store,
        Membership membership) {

    /** Returns the node name of this controller. */
    String node() {
        return settings.node();
    }

    /** Returns whether this controller owns a machine in the current view. */
    boolean owns(String machine) {
        return settings.node().equals(membership.owner(machine));
    }
}
