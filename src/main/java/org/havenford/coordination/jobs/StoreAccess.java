package org.havenford.coordination.jobs;

import org.havenford.storage.ClusterState;
import org.havenford.storage.ConditionalWriter;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.TransactionLimits;

/**
 * Access to the store.
 *
 * @param client client for calls to the store
 * @param replica local copy of the replicated keys
 * @param clusterState typed view of the replica
 * @param transactionLimits limits on the size of a transaction
 * @param writer commits transactions and locks their keys until the outcome is known
 */
public record StoreAccess(
        StoreClient client,
        StoreReplica replica,
        ClusterState clusterState,
        TransactionLimits transactionLimits,
        ConditionalWriter writer) {}
