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
 * Returns machines to the cloud: those that are unfit, and idle ones beyond the wanted number. The intent is stored before
 * each return, so that a successor carries it out; the cloud's confirmation proves that a machine is gone.
 */
final class ScaleIn {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);
    /** The cloud's limit of machines in one call. */
    private static final int MAX_MACHINES_PER_RETURN = 100;
    /** Surplus machines are gathered, since each change of a batch fails the claims under way on its other machines. */
    private static final Duration SURPLUS_INTERVAL = Duration.ofSeconds(2);

    private static final Duration REMOVAL_INTERVAL = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final ProvisioningContext context;
    private final CloudInventory inventory;
    private final CapacityRefusals capacityRefusals;
    private final UnfitMachineDetector unfitMachineDetector;
    private final IdleMachines idleMachines;
    private final BootMonitor bootMonitor;
    /** Machines of which a change of their batch, or their return, is under way. */
    private final Set<String> inFlight = new HashSet<>();
    /** Batches that are being written. */
    private final Set<String> batchesInFlight = new HashSet<>();
    /** Machines whose return the cloud has confirmed, and that are still on record. */
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

    /** Starts anew: this controller has become the provisioner. */
    void reset(Instant now) {
        unfitMachineDetector.reset(now);
        inFlight.clear();
        batchesInFlight.clear();
        confirmedReturns.clear();
        surplusDue.reset();
        removalDue.reset();
        idleMachines.reset(now);
    }

    private MachineBatchChange newChange() {
        return new MachineBatchChange(
                context.clusterState(), context.settings().maxTransactionOperations(), batchesInFlight::contains);
    }

    private void write(MachineBatchChange change) {
        if (change.isEmpty()) {
            return;
        }
        batchesInFlight.addAll(change.batches());
        inFlight.addAll(change.machines());
        context.write(change.transaction(context.replica()), ok -> {
            batchesInFlight.removeAll(change.batches());
            inFlight.removeAll(change.machines());
        });
    }

    /** Marks machines that are of no use to be returned. */
    void markUnfit(Instant now) {
        Set<String> silentZones = unfitMachineDetector.silentZones();
        MachineBatchChange change = newChange();
        for (MachineRecord machine : context.clusterState().machines()) {
            if (inFlight.contains(machine.name())) {
                continue;
            }
            Optional<ReturnReason> reason = unfitMachineDetector.reasonToReturn(machine, silentZones, now);
            if (reason.isPresent() && change.mark(machine.name(), MachineBatch.ServiceState.RETURNING)) {
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

    /** Marks idle machines beyond the wanted number to be returned, once they have been idle for the idle period. */
    void retireSurplus(Instant now, InstanceCounts wanted, InstanceCounts present) {
        List<MachineRecord> idle = idleMachines.idleForPeriod(now);
        if (!surplusDue.isReached(now)) {
            return;
        }
        surplusDue.postponeTo(now.plus(SURPLUS_INTERVAL));
        MachineBatchChange change = newChange();
        Map<String, Integer> retiredByType = new HashMap<>();
        for (MachineRecord machine : idle) {
            // Decided by type: what spot machines can't give just now is not to be returned because they might.
            String type = machine.type();
            int surplus = present.ofType(type) - wanted.ofType(type) - retiredByType.getOrDefault(type, 0);
            if (surplus > 0
                    && !inFlight.contains(machine.name())
                    && change.mark(machine.name(), MachineBatch.ServiceState.RETIRING)) {
                logReturn(machine, ReturnReason.SURPLUS);
                retiredByType.merge(type, 1, Integer::sum);
            }
        }
        write(change);
    }

    /** What becomes of a machine that may be marked to be returned. */
    private enum ReturnDecision {
        /** It is not marked, or the store may know more of it than our replica does. */
        WAIT,
        RETURN,
        /** It was idle when it was marked, and has got a claim. */
        BACK_IN_SERVICE
    }

    private ReturnDecision decide(MachineRecord machine) {
        if (machine.condition() == Condition.RETURNING) {
            return ReturnDecision.RETURN;
        }
        if (machine.condition() != Condition.RETIRING || !batchesAreCurrent(machine)) {
            return ReturnDecision.WAIT;
        }
        // A claim does not change the record, so one may have come first without our knowing.
        boolean claimed = !context.clusterState().claimsOn(machine.name()).isEmpty();
        return claimed ? ReturnDecision.BACK_IN_SERVICE : ReturnDecision.RETURN;
    }

    /** Whether our replica has passed the last change of all batches that a machine is in. */
    private boolean batchesAreCurrent(MachineRecord machine) {
        return context.clusterState().batchesOf(machine.name()).stream()
                .allMatch(name ->
                        context.replica().revision() >= context.replica().modRevision(Keys.batch(name)));
    }

    /** Returns the machines that are marked for it. */
    void returnMachines() {
        List<MachineRecord> returning = new ArrayList<>();
        MachineBatchChange backInService = newChange();
        for (MachineRecord machine : context.clusterState().machines()) {
            if (inFlight.contains(machine.name()) || confirmedReturns.contains(machine.name())) {
                continue;
            }
            ReturnDecision decision = decide(machine);
            if (decision == ReturnDecision.RETURN && returning.size() < MAX_MACHINES_PER_RETURN) {
                returning.add(machine);
            } else if (decision == ReturnDecision.BACK_IN_SERVICE) {
                backInService.mark(machine.name(), MachineBatch.ServiceState.IN_SERVICE);
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
        if (context.cloud().tryCall("POST", "/machines/return", body, reply -> onReturnReply(machines, names, reply))) {
            inFlight.addAll(names);
        }
    }

    private void onReturnReply(List<MachineRecord> machines, List<String> names, HttpCalls.Reply reply) {
        if (!reply.ok()) {
            context.loop().after(RETRY_DELAY, () -> inFlight.removeAll(names));
            return;
        }
        inFlight.removeAll(names);
        inventory.returned(names);
        machines.forEach(machine -> capacityRefusals.available(InstanceOffer.of(machine)));
        // By now the machines and all on them are gone. The records' absence tells the owners so.
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
