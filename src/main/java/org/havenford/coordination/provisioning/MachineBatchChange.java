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

/** Changes of the batches that machines are in, gathered into one transaction. */
final class MachineBatchChange {
    private final ClusterState clusterState;
    private final int maxBatches;
    private final Predicate<String> isBusy;
    private final TreeMap<String, MachineBatch> next = new TreeMap<>();
    private final List<String> machines = new ArrayList<>();

    /** {@code isBusy} tells of batches that are being written. */
    MachineBatchChange(ClusterState clusterState, int maxBatches, Predicate<String> isBusy) {
        this.clusterState = clusterState;
        this.maxBatches = maxBatches;
        this.isBusy = isBusy;
    }

    /** Whether there is room for the machine's batches, and none of them is being written. */
    private boolean takes(String machine) {
        Set<String> batches = clusterState.batchesOf(machine);
        long more = batches.stream().filter(b -> !next.containsKey(b)).count();
        return !batches.isEmpty() && batches.stream().noneMatch(isBusy) && next.size() + more <= maxBatches;
    }

    /** Changes the service that a machine is in; whether the transaction had room for it. */
    boolean mark(String machine, MachineBatch.ServiceState service) {
        if (!takes(machine)) {
            return false;
        }
        for (String name : clusterState.batchesOf(machine)) {
            next.put(name, next.getOrDefault(name, clusterState.batch(name)).with(machine, service));
        }
        machines.add(machine);
        return true;
    }

    /** Takes a machine off the record, if the transaction has room for it. */
    void drop(String machine) {
        if (takes(machine)) {
            for (String name : clusterState.batchesOf(machine)) {
                next.put(name, next.getOrDefault(name, clusterState.batch(name)).without(List.of(machine)));
            }
        }
    }

    boolean isEmpty() {
        return next.isEmpty();
    }

    /** Batches that are changed. */
    Set<String> batches() {
        return next.keySet();
    }

    /** Machines whose service is changed. */
    List<String> machines() {
        return machines;
    }

    /** The transaction, guarded by the stamps of the batches that were changed. */
    Transaction transaction(StoreReplica replica) {
        Transaction transaction = new Transaction();
        next.forEach((name, batch) -> {
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
