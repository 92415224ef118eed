package org.havenford.coordination.provisioning;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.TransactionLimits;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineBatch;

/** Collects changes to machine batches for one transaction. */
final class MachineBatchChange {
    private final ClusterState clusterState;
    private final TransactionLimits limits;
    private final Predicate<String> isWriteInFlight;
    private final TreeMap<String, MachineBatch> changedBatches = new TreeMap<>();
    private final List<String> machines = new ArrayList<>();
    /** Upper bound of the size of the changed batches, in bytes. */
    private int bytes;

    /** Creates a change within the limits of a transaction that excludes batches with a write in flight. */
    MachineBatchChange(ClusterState clusterState, TransactionLimits limits, Predicate<String> isWriteInFlight) {
        this.clusterState = clusterState;
        this.limits = limits;
        this.isWriteInFlight = isWriteInFlight;
    }

    /** Returns whether the machine's batches fit in the transaction and none of them has a write in flight. */
    private boolean canInclude(String machine) {
        Set<String> batches = clusterState.batchNamesOf(machine);
        if (batches.isEmpty() || batches.stream().anyMatch(isWriteInFlight)) {
            return false;
        }
        List<String> additionalBatches = batches.stream()
                .filter(name -> !changedBatches.containsKey(name))
                .toList();
        int additionalBytes =
                additionalBatches.stream().mapToInt(this::maxBytes).sum();
        return changedBatches.size() + additionalBatches.size() <= limits.maxOperations()
                && bytes + additionalBytes <= limits.maxBytes();
    }

    /** Returns an upper bound of the size of a batch in the transaction, whatever the service states of its machines. */
    private int maxBytes(String batch) {
        MachineBatch stored = clusterState.batch(batch);
        int stateBytes = stored.machines().size() * MachineBatch.MAX_SERVICE_STATE_BYTES;
        return write(batch, stored, 0).encodedBytes() + stateBytes;
    }

    private void put(String name, MachineBatch changed) {
        if (!changedBatches.containsKey(name)) {
            bytes += maxBytes(name);
        }
        changedBatches.put(name, changed);
    }

    /** Adds a change of a machine's service state, and returns whether it could be added. */
    boolean setServiceState(String machine, MachineBatch.ServiceState serviceState) {
        if (!canInclude(machine)) {
            return false;
        }
        for (String name : clusterState.batchNamesOf(machine)) {
            put(
                    name,
                    changedBatches
                            .getOrDefault(name, clusterState.batch(name))
                            .withServiceState(machine, serviceState));
        }
        machines.add(machine);
        return true;
    }

    /** Adds the removal of a machine from its batches, if it can be added. */
    void remove(String machine) {
        if (canInclude(machine)) {
            for (String name : clusterState.batchNamesOf(machine)) {
                put(
                        name,
                        changedBatches
                                .getOrDefault(name, clusterState.batch(name))
                                .withoutMachines(List.of(machine)));
            }
        }
    }

    boolean isEmpty() {
        return changedBatches.isEmpty();
    }

    /** Returns the names of the changed batches. */
    Set<String> batches() {
        return changedBatches.keySet();
    }

    /** Returns the machines whose service state is changed. */
    List<String> machines() {
        return machines;
    }

    /** Builds the transaction, guarded by the revisions of the batches in {@code replica}. */
    Transaction transaction(StoreReplica replica) {
        Transaction transaction = new Transaction();
        changedBatches.forEach(
                (name, batch) -> transaction.addAll(write(name, batch, replica.modRevision(Keys.batch(name)))));
        return transaction;
    }

    private static Transaction write(String name, MachineBatch batch, long modRevision) {
        String key = Keys.batch(name);
        Transaction write = new Transaction().requireRevision(key, modRevision);
        return batch.machines().isEmpty() ? write.delete(key) : write.put(key, batch.toJson());
    }
}
