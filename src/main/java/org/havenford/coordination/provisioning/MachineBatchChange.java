package org.havenford.coordination.provisioning;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineBatch;

/** Collects changes to machine batches for one transaction. */
final class MachineBatchChange {
    private final ClusterState clusterState;
    private final int maxBatches;
    private final Predicate<String> isWriteInFlight;
    private final TreeMap<String, MachineBatch> changedBatches = new TreeMap<>();
    private final List<String> machines = new ArrayList<>();

    /** Creates a change of at most {@code maxBatches} batches that excludes batches with a write in flight. */
    MachineBatchChange(ClusterState clusterState, int maxBatches, Predicate<String> isWriteInFlight) {
        this.clusterState = clusterState;
        this.maxBatches = maxBatches;
        this.isWriteInFlight = isWriteInFlight;
    }

    /** Returns whether the machine's batches fit in the transaction and none of them has a write in flight. */
    private boolean canInclude(String machine) {
        Set<String> batches = clusterState.batchNamesOf(machine);
        long additionalBatches = batches.stream()
                .filter(name -> !changedBatches.containsKey(name))
                .count();
        return !batches.isEmpty()
                && batches.stream().noneMatch(isWriteInFlight)
                && changedBatches.size() + additionalBatches <= maxBatches;
    }

    /** Adds a change of a machine's service state, and returns whether it could be added. */
    boolean setServiceState(String machine, MachineBatch.ServiceState serviceState) {
        if (!canInclude(machine)) {
            return false;
        }
        for (String name : clusterState.batchNamesOf(machine)) {
            changedBatches.put(
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
                changedBatches.put(
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
        changedBatches.forEach((name, batch) -> {
            String key = Keys.batch(name);
            transaction.requireRevision(key, replica.modRevision(key));
            if (batch.machines().isEmpty()) {
                transaction.delete(key);
            } else {
                transaction.put(key, batch.toJson());
            }
        });
        return transaction;
    }
}
