package org.havenford.coordination.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.havenford.protocol.MachineType;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.MachineRecord;

/**
 * Free capacity of all machines that are up, kept between rounds. Only the entries of invalidated machines are computed
 * again.
 */
final class CapacityIndex {
    private final ClusterState clusterState;
    private final UnaryOperator<String> ownerOf;
    private final TreeMap<String, FreeCapacity> byMachine = new TreeMap<>();
    private final Collection<FreeCapacity> all = Collections.unmodifiableCollection(byMachine.values());
    /** Names of the machines whose entries must be computed again. */
    private final Set<String> stale = new HashSet<>();

    private boolean allStale = true;

    /** Creates an index over a replica; {@code ownerOf} returns the name of the controller that owns a machine. */
    CapacityIndex(ClusterState clusterState, UnaryOperator<String> ownerOf) {
        this.clusterState = clusterState;
        this.ownerOf = ownerOf;
    }

    /** Marks a machine's entry as stale after a change of its record, its claims or their outcomes. */
    void invalidate(String machine) {
        stale.add(machine);
    }

    /** Marks all entries as stale. */
    void invalidateAll() {
        allStale = true;
    }

    /** Computes the stale entries again. */
    void refresh(MachineAvailability availability) {
        if (allStale) {
            allStale = false;
            byMachine.clear();
            for (MachineRecord machine : clusterState.machines()) {
                stale.add(machine.name());
            }
        }
        for (String name : stale) {
            FreeCapacity capacity = compute(name, availability);
            if (capacity == null) {
                byMachine.remove(name);
            } else {
                byMachine.put(name, capacity);
            }
        }
        stale.clear();
    }

    /** Returns the entries of all machines that are up, ordered by name. */
    Collection<FreeCapacity> all() {
        return all;
    }

    /**
     * Returns the machines with free capacity that accept new tasks, ordered by name, and clears their reservations.
     */
    List<FreeCapacity> schedulable(PlanningSnapshot snapshot) {
        List<FreeCapacity> schedulable = new ArrayList<>();
        for (FreeCapacity capacity : byMachine.values()) {
            if (capacity.cpus > FreeCapacity.EPSILON && capacity.acceptsTasks(snapshot.monotonicNow())) {
                capacity.reservedFor = null;
                schedulable.add(capacity);
            }
        }
        return schedulable;
    }

    private FreeCapacity compute(String name, MachineAvailability availability) {
        MachineRecord machine = clusterState.machine(name);
        MachineType type = machine == null ? null : clusterState.types().get(machine.type());
        if (type == null || availability.condition(machine) != MachineRecord.Condition.UP) {
            return null;
        }
        FreeCapacity capacity = new FreeCapacity(
                machine, type, ownerOf.apply(name), availability.images(machine), availability.acceptsTasksAt(machine));
        for (Claim claim : clusterState.claimsOn(name).values()) {
            Job job = clusterState.job(claim.task().job());
            // The capacity of a task known to have ended is free at once. Its release is stored later, in a batch with
            // others.
            if (job != null && !availability.hasEnded(claim)) {
                capacity.allocate(job.spec());
                capacity.claims.add(claim);
            }
        }
        availability.claimsInFlight(name).forEach(capacity::allocate);
        return capacity;
    }
}
