package org.havenford.coordination.jobs;

import org.havenford.storage.ClusterState;
import org.havenford.storage.ConditionalWriter;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;

/**
 * Access to the store.
 *
 * @param client client for calls to the store
 * @param replica local copy of the replicated keys
 * @param clusterState typed view of the replica
 * @param writer commits transactions and locks their keys until the outcome is known
 */
public record StoreAccess(
        StoreClient client, StoreReplica replica, ClusterState clusterState, ConditionalWriter writer) {}
