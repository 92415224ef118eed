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

/** Changes of the batches that machines are in, collected for one transaction. */
final class MachineBatchChange {
    private final ClusterState clusterState;
    private final int maxBatches;
    private final Predicate<String> isInFlight;
    private final TreeMap<String, MachineBatch> changed = new TreeMap<>();
    private final List<String> machines = new ArrayList<>();

    /** At most {@code maxBatches} are changed, and none for which {@code isInFlight} says that it is being written. */
    MachineBatchChange(ClusterState clusterState, int maxBatches, Predicate<String> isInFlight) {
        this.clusterState = clusterState;
        this.maxBatches = maxBatches;
        this.isInFlight = isInFlight;
    }

    /** Whether there is room for the machine's batches, and none of them is being written. */
    private boolean hasRoomFor(String machine) {
        Set<String> batches = clusterState.batchesOf(machine);
        long added = batches.stream().filter(name -> !changed.containsKey(name)).count();
        return !batches.isEmpty() && batches.stream().noneMatch(isInFlight) && changed.size() + added <= maxBatches;
    }

    /** Changes the service state of a machine; returns whether the transaction had room for it. */
    boolean mark(String machine, MachineBatch.ServiceState service) {
        if (!hasRoomFor(machine)) {
            return false;
        }
        for (String name : clusterState.batchesOf(machine)) {
            changed.put(
                    name, changed.getOrDefault(name, clusterState.batch(name)).with(machine, service));
        }
        machines.add(machine);
        return true;
    }

    /** Removes the record of a machine, if the transaction has room for it. */
    void remove(String machine) {
        if (hasRoomFor(machine)) {
            for (String name : clusterState.batchesOf(machine)) {
                changed.put(
                        name,
                        changed.getOrDefault(name, clusterState.batch(name)).without(List.of(machine)));
            }
        }
    }

    boolean isEmpty() {
        return changed.isEmpty();
    }

    /** Batches that are changed. */
    Set<String> batches() {
        return changed.keySet();
    }

    /** Machines whose service state is changed. */
    List<String> machines() {
        return machines;
    }

    /** The transaction, on condition that none of the batches has changed since it was read. */
    Transaction transaction(StoreReplica replica) {
        Transaction transaction = new Transaction();
        changed.forEach((name, batch) -> {
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
