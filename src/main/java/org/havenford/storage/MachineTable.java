package org.havenford.storage;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.havenford.storage.records.MachineBatch;
import org.havenford.storage.records.MachineBatch.ServiceState;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;
import org.havenford.storage.records.MachineStatuses;

/** Machine records, built from the stored batches and from the statuses that the owners of the machines report. */
final class MachineTable {
    /**
     * Last reported status of a machine, the time of the report, and since when the same condition has been reported.
     */
    private record ReportedStatus(MachineStatuses.Status status, Instant reportedAt, Instant since) {}

    private final Object2ObjectOpenHashMap<String, MachineRecord> machines = new Object2ObjectOpenHashMap<>();
    private final Map<String, MachineBatch> batches = new HashMap<>();
    private final Map<String, Set<String>> batchesByMachine = new HashMap<>();
    private final Map<String, ReportedStatus> reportedStatuses = new HashMap<>();
    private ClusterState.Observer observer;

    void setObserver(ClusterState.Observer observer) {
        this.observer = observer;
    }

    /** Returns the records of all machines. */
    Collection<MachineRecord> machines() {
        return machines.values();
    }

    /** Returns the record of a machine, or null. */
    MachineRecord machine(String name) {
        return machines.get(name);
    }

    /** Returns a batch of machines, or null. */
    MachineBatch batch(String name) {
        return batches.get(name);
    }

    /** Returns the names of the batches that a machine is in. */
    Set<String> batchNamesOf(String machine) {
        return batchesByMachine.getOrDefault(machine, Set.of());
    }

    /** Returns the time of day at which a machine on record was launched or adopted. */
    Instant launchedAt(String machine) {
        return firstBatch(batchesByMachine.get(machine)).since();
    }

    private MachineBatch firstBatch(Set<String> batchNames) {
        return batches.get(batchNames.iterator().next());
    }

    /** Notifies the observer of a change of every machine on record. */
    void notifyAllChanged() {
        machines.keySet().forEach(observer::machineChanged);
    }

    /** Applies a batch; {@code after} is null if it was deleted. */
    void batchChanged(String name, MachineBatch after) {
        MachineBatch before = after == null ? batches.remove(name) : batches.put(name, after);
        Set<String> affected = new TreeSet<>();
        Set<String> withoutBatch = new HashSet<>();
        if (before != null) {
            affected.addAll(before.machines().keySet());
            removeFromMachines(before, withoutBatch);
        }
        if (after != null) {
            for (String machine : after.machines().keySet()) {
                affected.add(machine);
                batchesByMachine
                        .computeIfAbsent(machine, key -> new TreeSet<>())
                        .add(name);
            }
        }
        withoutBatch.removeIf(batchesByMachine::containsKey);
        reportedStatuses.keySet().removeAll(withoutBatch);
        affected.forEach(this::rebuildRecord);
    }

    /**
     * Removes a batch from the sets of its machines, and adds the machines left without a batch to {@code
     * withoutBatch}.
     */
    private void removeFromMachines(MachineBatch batch, Set<String> withoutBatch) {
        for (String machine : batch.machines().keySet()) {
            Set<String> batchNames = batchesByMachine.get(machine);
            batchNames.remove(batch.name());
            if (batchNames.isEmpty()) {
                batchesByMachine.remove(machine);
                withoutBatch.add(machine);
            }
        }
    }

    /** Applies the statuses that an owner reports, except where a newer report is known. */
    void statusesChanged(MachineStatuses reported) {
        reported.machines().forEach((machine, status) -> {
            ReportedStatus before = reportedStatuses.get(machine);
            if (before == null || !before.reportedAt.isAfter(reported.at())) {
                boolean sameCondition = before != null && before.status.condition() == status.condition();
                Instant since = sameCondition ? before.since : reported.at();
                reportedStatuses.put(machine, new ReportedStatus(status, reported.at(), since));
                rebuildRecord(machine);
            }
        });
    }

    private void rebuildRecord(String machine) {
        Set<String> batchNames = batchesByMachine.get(machine);
        // While the keys are being read, status reports precede the batches. They are kept without a batch, and are
        // removed with the last batch of the machine.
        MachineRecord after = batchNames == null ? null : buildRecord(machine, batchNames);
        MachineRecord before = after == null ? machines.remove(machine) : machines.put(machine, after);
        if (!Objects.equals(before, after)) {
            observer.machineChanged(machine);
        }
    }

    private MachineRecord buildRecord(String machine, Set<String> batchNames) {
        MachineBatch batch = firstBatch(batchNames);
        ReportedStatus reported = reportedStatuses.get(machine);
        return new MachineRecord(
                machine,
                batch.type(),
                batch.zone(),
                batch.spot(),
                condition(serviceState(machine, batchNames), reported),
                reported == null ? batch.since() : reported.since,
                reported == null ? List.of() : reported.status.images());
    }

    /** Returns the state closest to the return to the cloud, so that either of two batches can start the return. */
    private ServiceState serviceState(String machine, Set<String> batchNames) {
        ServiceState furthest = ServiceState.IN_SERVICE;
        for (String name : batchNames) {
            ServiceState state = batches.get(name).machines().get(machine);
            furthest = state.compareTo(furthest) > 0 ? state : furthest;
        }
        return furthest;
    }

    private static Condition condition(ServiceState service, ReportedStatus reported) {
        return switch (service) {
            case RETIRING -> Condition.RETIRING;
            case RETURNING -> Condition.RETURNING;
            case IN_SERVICE -> reported == null ? Condition.BOOTING : reported.status.condition();
        };
    }
}
