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

/** Machine records, put together from the batches that the machines came with and from what their owners report. */
final class MachineTable {
    /** What an owner last reported of a machine, when it did, and since when the machine has been in that condition. */
    private record ReportedStatus(MachineStatuses.Status status, Instant reportedAt, Instant since) {}

    private final Object2ObjectOpenHashMap<String, MachineRecord> machines = new Object2ObjectOpenHashMap<>();
    private final Map<String, MachineBatch> batches = new HashMap<>();
    private final Map<String, Set<String>> batchesByMachine = new HashMap<>();
    private final Map<String, ReportedStatus> reportedStatuses = new HashMap<>();
    private ClusterState.Observer observer;

    void setObserver(ClusterState.Observer observer) {
        this.observer = observer;
    }

    /** All machines on record. */
    Collection<MachineRecord> machines() {
        return machines.values();
    }

    /** A machine's record, or null. */
    MachineRecord machine(String name) {
        return machines.get(name);
    }

    /** A batch of machines, or null. */
    MachineBatch batch(String name) {
        return batches.get(name);
    }

    /** Names of the batches that a machine is in. */
    Set<String> batchesOf(String machine) {
        return batchesByMachine.getOrDefault(machine, Set.of());
    }

    /** When a machine on record was rented, or found, by the time of day. */
    Instant rentedAt(String machine) {
        return firstBatch(batchesByMachine.get(machine)).since();
    }

    private MachineBatch firstBatch(Set<String> batchNames) {
        return batches.get(batchNames.iterator().next());
    }

    /** Tells the observer of every machine on record. */
    void notifyAllChanged() {
        machines.keySet().forEach(observer::machineChanged);
    }

    /** Takes up a batch; null if it is gone. */
    void batchChanged(String name, MachineBatch after) {
        MachineBatch before = after == null ? batches.remove(name) : batches.put(name, after);
        Set<String> affected = new TreeSet<>();
        Set<String> gone = new HashSet<>();
        if (before != null) {
            affected.addAll(before.machines().keySet());
            unlink(before, gone);
        }
        if (after != null) {
            for (String machine : after.machines().keySet()) {
                affected.add(machine);
                batchesByMachine
                        .computeIfAbsent(machine, key -> new TreeSet<>())
                        .add(name);
            }
        }
        gone.removeIf(batchesByMachine::containsKey);
        reportedStatuses.keySet().removeAll(gone);
        affected.forEach(this::rebuild);
    }

    /** Removes a batch from those of its machines; adds to {@code gone} the machines that are in no other. */
    private void unlink(MachineBatch batch, Set<String> gone) {
        for (String machine : batch.machines().keySet()) {
            Set<String> batchNames = batchesByMachine.get(machine);
            batchNames.remove(batch.name());
            if (batchNames.isEmpty()) {
                batchesByMachine.remove(machine);
                gone.add(machine);
            }
        }
    }

    /** Takes up what an owner reports of its machines. */
    void statusesChanged(MachineStatuses reported) {
        reported.machines().forEach((machine, status) -> {
            ReportedStatus before = reportedStatuses.get(machine);
            if (before == null || !before.reportedAt.isAfter(reported.at())) {
                boolean sameCondition = before != null && before.status.condition() == status.condition();
                Instant since = sameCondition ? before.since : reported.at();
                reportedStatuses.put(machine, new ReportedStatus(status, reported.at(), since));
                rebuild(machine);
            }
        });
    }

    private void rebuild(String machine) {
        Set<String> batchNames = batchesByMachine.get(machine);
        // While keys come one by one, owners' reports come before the batches: they are kept until the machine goes.
        MachineRecord after = batchNames == null ? null : recordOf(machine, batchNames);
        MachineRecord before = after == null ? machines.remove(machine) : machines.put(machine, after);
        if (!Objects.equals(before, after)) {
            observer.machineChanged(machine);
        }
    }

    private MachineRecord recordOf(String machine, Set<String> batchNames) {
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

    /** The state furthest on its way back to the cloud: a machine that is in two batches is to go if either says so. */
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
