package org.havenford.coordination.jobs;

import org.havenford.storage.ClusterState;
import org.havenford.storage.ConditionalWriter;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;

/**
 * The ways to the store: calls to it, the replica of its keys, the typed view of that replica, and transactions that lock
 * the keys they decide on.
 */
public record StoreAccess(
        StoreClient client, StoreReplica replica, ClusterState clusterState, ConditionalWriter writer) {}
