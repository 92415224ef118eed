package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.havenford.protocol.CloudMessages;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineBatch;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Returns unfit machines and surplus idle machines to the cloud. The intent is stored before each return, so that the
 * next provisioning leader completes it after a failover. A machine is known to be gone once the cloud has confirmed
 * the return.
 */
final class ScaleIn {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);
    /** The cloud's limit on the number of machines in one return request. */
    private static final int MAX_MACHINES_PER_RETURN = 100;
    /**
     * Interval at which surplus machines are marked. They are marked in groups, since each write to a batch fails the
     * claims in flight on all machines of that batch.
     */
    private static final Duration SURPLUS_INTERVAL = Duration.ofSeconds(2);

    private static final Duration REMOVAL_INTERVAL = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final ProvisioningContext context;
    private final CloudInventory inventory;
    private final CapacityRefusals capacityRefusals;
    private final UnfitMachineDetector unfitMachineDetector;
    private final IdleMachines idleMachines;
    private final BootMonitor bootMonitor;
    /** Machines with a batch write or a return request in flight. */
    private final Set<String> machinesInFlight = new HashSet<>();
    /** Batches with a write in flight. */
    private final Set<String> batchesInFlight = new HashSet<>();
    /** Machines whose return the cloud has confirmed, and whose records have not been removed yet. */
    private final Set<String> confirmedReturns = new LinkedHashSet<>();

    private final DueTime surplusDue = new DueTime();
    private final DueTime removalDue = new DueTime();

    ScaleIn(
            ProvisioningContext context,
            CloudInventory inventory,
            CapacityRefusals capacityRefusals,
            UnfitMachineDetector unfitMachineDetector,
            IdleMachines idleMachines,
            BootMonitor bootMonitor) {
        this.context = context;
        this.inventory = inventory;
        this.capacityRefusals = capacityRefusals;
        this.unfitMachineDetector = unfitMachineDetector;
        this.idleMachines = idleMachines;
        this.bootMonitor = bootMonitor;
    }

    /** Resets the in-memory state; called when this controller becomes the provisioning leader. */
    void reset(Instant now) {
        unfitMachineDetector.reset(now);
        machinesInFlight.clear();
        batchesInFlight.clear();
        confirmedReturns.clear();
        surplusDue.reset();
        removalDue.reset();
        idleMachines.reset(now);
    }

    private MachineBatchChange newChange() {
        return new MachineBatchChange(context.clusterState(), context.transactionLimits(), batchesInFlight::contains);
    }

    private void write(MachineBatchChange change) {
        if (change.isEmpty()) {
            return;
        }
        batchesInFlight.addAll(change.batches());
        machinesInFlight.addAll(change.machines());
        context.write(change.transaction(context.replica()), ok -> {
            batchesInFlight.removeAll(change.batches());
            machinesInFlight.removeAll(change.machines());
        });
    }

    /** Marks unfit machines for return. */
    void markUnfitMachines(Instant now) {
        Set<String> silentZones = unfitMachineDetector.silentZones();
        MachineBatchChange change = newChange();
        for (MachineRecord machine : context.clusterState().machines()) {
            if (machinesInFlight.contains(machine.name())) {
                continue;
            }
            Optional<ReturnReason> reason = unfitMachineDetector.reasonToReturn(machine, silentZones, now);
            if (reason.isPresent() && change.setServiceState(machine.name(), MachineBatch.ServiceState.RETURNING)) {
                logReturn(machine, reason.get());
                if (machine.condition() == Condition.BOOTING) {
                    bootMonitor.countGivenUp();
                }
            }
        }
        write(change);
    }

    private static void logReturn(MachineRecord machine, ReturnReason reason) {
        LOG.info("returning machine to the cloud: machine={} reason={}", machine.name(), reason);
    }

    /** Marks surplus machines for return if they have been idle for longer than the idle period. */
    void retireSurplusMachines(Instant now, InstanceCounts wanted, InstanceCounts present) {
        List<MachineRecord> idle = idleMachines.idleLongerThanPeriod(now);
        if (!surplusDue.isReached(now)) {
            return;
        }
        surplusDue.postponeTo(now.plus(SURPLUS_INTERVAL));
        MachineBatchChange change = newChange();
        Map<String, Integer> retiredByType = new HashMap<>();
        for (MachineRecord machine : idle) {
            // Surplus is computed per type: on-demand machines that stand in for spot machines currently unavailable
            // must not be returned because spot machines are wanted instead.
            String type = machine.type();
            int surplus = present.ofType(type) - wanted.ofType(type) - retiredByType.getOrDefault(type, 0);
            if (surplus > 0
                    && !machinesInFlight.contains(machine.name())
                    && change.setServiceState(machine.name(), MachineBatch.ServiceState.RETIRING)) {
                logReturn(machine, ReturnReason.SURPLUS);
                retiredByType.merge(type, 1, Integer::sum);
            }
        }
        write(change);
    }

    /** What to do next with a machine, given its stored condition. */
    private enum ReturnDecision {
        /** Do nothing: the machine is not marked, or the replica may not include all claims on it yet. */
        WAIT,
        /** Return the machine to the cloud. */
        RETURN,
        /** Put the machine back in service: a claim on it was committed before it was marked. */
        BACK_IN_SERVICE
    }

    private ReturnDecision decide(MachineRecord machine) {
        if (machine.condition() == Condition.RETURNING) {
            return ReturnDecision.RETURN;
        }
        if (machine.condition() != Condition.RETIRING || !batchesAreCurrent(machine)) {
            return ReturnDecision.WAIT;
        }
        // A claim does not change the batch, so another controller may have committed one before the machine was
        // marked. The replica includes all such claims now.
        boolean claimed = !context.clusterState().claimsOn(machine.name()).isEmpty();
        return claimed ? ReturnDecision.BACK_IN_SERVICE : ReturnDecision.RETURN;
    }

    /** Returns whether the replica has reached the last known change of each of a machine's batches. */
    private boolean batchesAreCurrent(MachineRecord machine) {
        return context.clusterState().batchNamesOf(machine.name()).stream()
                .allMatch(name ->
                        context.replica().revision() >= context.replica().modRevision(Keys.batch(name)));
    }

    /** Requests the return of marked machines, and removes the records of machines that were returned. */
    void returnMachines() {
        List<MachineRecord> returning = new ArrayList<>();
        MachineBatchChange backInService = newChange();
        for (MachineRecord machine : context.clusterState().machines()) {
            if (machinesInFlight.contains(machine.name()) || confirmedReturns.contains(machine.name())) {
                continue;
            }
            ReturnDecision decision = decide(machine);
            if (decision == ReturnDecision.RETURN && returning.size() < MAX_MACHINES_PER_RETURN) {
                returning.add(machine);
            } else if (decision == ReturnDecision.BACK_IN_SERVICE) {
                backInService.setServiceState(machine.name(), MachineBatch.ServiceState.IN_SERVICE);
            }
        }
        write(backInService);
        removeReturned();
        if (!returning.isEmpty()) {
            requestReturn(returning);
        }
    }

    private void requestReturn(List<MachineRecord> machines) {
        List<String> names = machines.stream().map(MachineRecord::name).toList();
        String body = CloudMessages.returnRequestBody(names);
        if (context.cloudClient()
                .tryCall("POST", "/machines/return", body, reply -> onReturnReply(machines, names, reply))) {
            machinesInFlight.addAll(names);
        }
    }

    private void onReturnReply(List<MachineRecord> machines, List<String> names, HttpCalls.Reply reply) {
        if (!reply.ok()) {
            context.loop().after(RETRY_DELAY, () -> machinesInFlight.removeAll(names));
            return;
        }
        machinesInFlight.removeAll(names);
        inventory.recordReturned(names);
        machines.forEach(machine -> capacityRefusals.clearRefusal(InstanceOffer.of(machine)));
        // The machines and everything on them are gone. Their owners are informed by the removal of the records.
        confirmedReturns.addAll(names);
    }

    /** Removes the records of machines whose return the cloud has confirmed. */
    private void removeReturned() {
        confirmedReturns.removeIf(name -> context.clusterState().machine(name) == null);
        if (confirmedReturns.isEmpty() || !removalDue.isReached(context.loop().now())) {
            return;
        }
        removalDue.postponeTo(context.loop().now().plus(REMOVAL_INTERVAL));
        MachineBatchChange change = newChange();
        confirmedReturns.forEach(change::remove);
        write(change);
    }
}
