package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
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
 * Gives machines back to the cloud: those that are of no use, and idle ones beyond the wanted number. The intent is stored
 * before each return, so that a successor carries it out; the cloud's confirmation proves that a machine is gone.
 */
final class ScaleIn {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);
    /** The cloud's limit of machines in one call. */
    private static final int MOST_RETURNED = 100;
    /** Machines that go are gathered, since each change of a batch fails the claims under way on its other machines. */
    private static final Duration TRIM_EVERY = Duration.ofSeconds(2);

    private static final Duration DROP_EVERY = Duration.ofSeconds(1);
    private static final Duration RETRY = Duration.ofSeconds(1);
    /** A new provisioner first lets the owners say what they hear of machines that boot. */
    private static final Duration SETTLING = Duration.ofSeconds(20);
    /** How many times as long machines of a zone that is silent as a whole are waited for: a cut takes about a minute. */
    private static final int ZONE_PATIENCE = 3;
    /**
     * Times as long that machines stay idle where speed comes first: long enough for the next burst. Not for ever, since a
     * thousand machines without work still report, and cost most of the processor time of a quiet hour.
     */
    private static final int IDLE_FOR_SPEED = 6;

    private final ProvisioningContext context;
    private final CloudInventory inventory;
    private final CapacityRefusals capacityRefusals;
    private final BootTimeEstimator bootTimeEstimator;
    private final BootMonitor bootMonitor;
    private final Duration idlePatience;
    /** Machines of which a change of their batch, or their return, is under way. */
    private final Set<String> inFlight = new HashSet<>();
    /** Batches that are being written. */
    private final Set<String> busyBatches = new HashSet<>();
    /** Machines whose return the cloud has confirmed, and that are still on record. */
    private final Set<String> goneNow = new LinkedHashSet<>();

    private final Map<String, Instant> idleSince = new HashMap<>();
    private Instant activeSince = Instant.MIN;
    private Instant nextTrim = Instant.MIN;
    private Instant nextDrop = Instant.MIN;

    ScaleIn(
            ProvisioningContext context,
            CloudInventory inventory,
            CapacityRefusals capacityRefusals,
            BootTimeEstimator bootTimeEstimator,
            BootMonitor bootMonitor,
            boolean speedFirst) {
        this.context = context;
        this.bootTimeEstimator = bootTimeEstimator;
        this.bootMonitor = bootMonitor;
        this.inventory = inventory;
        this.capacityRefusals = capacityRefusals;
        Duration patience = context.operator().idleBeforeReturn();
        this.idlePatience = speedFirst ? patience.multipliedBy(IDLE_FOR_SPEED) : patience;
    }

    /** Begins afresh: this controller has become the provisioner. */
    void reset(Instant now) {
        activeSince = now;
        inFlight.clear();
        busyBatches.clear();
        goneNow.clear();
        idleSince.clear();
        nextTrim = Instant.MIN;
        nextDrop = Instant.MIN;
        // Its predecessor knew since when machines have been idle; half the time is a fair guess.
        Instant guessed = now.minus(context.operator().idleBeforeReturn().dividedBy(2));
        for (MachineRecord machine : context.clusterState().machines()) {
            if (isIdle(machine)) {
                idleSince.put(machine.name(), guessed);
            }
        }
    }

    private boolean isIdle(MachineRecord machine) {
        return machine.condition() == Condition.UP
                && context.clusterState().claimsOn(machine.name()).isEmpty();
    }

    private MachineBatchChange newChange() {
        return new MachineBatchChange(context.clusterState(), context.settings().txnOps(), busyBatches::contains);
    }

    private void write(MachineBatchChange change) {
        if (change.isEmpty()) {
            return;
        }
        busyBatches.addAll(change.batches());
        inFlight.addAll(change.machines());
        context.write(change.transaction(context.replica()), ok -> {
            busyBatches.removeAll(change.batches());
            inFlight.removeAll(change.machines());
        });
    }

    // ---- machines that are of no use

    /** Marks machines that are of no use to be returned. */
    void markUnfit(Instant now) {
        Set<String> silentZones = silentZones();
        MachineBatchChange change = newChange();
        for (MachineRecord machine : context.clusterState().machines()) {
            String why = inFlight.contains(machine.name()) ? null : whyUnfit(machine, silentZones, now);
            if (why != null && change.mark(machine.name(), MachineBatch.ServiceState.RETURNING)) {
                LOG.info("returning {}: {}", machine.name(), why);
                if (machine.condition() == Condition.BOOTING) {
                    bootMonitor.countGivenUp();
                }
            }
        }
        write(change);
    }

    /** Zones of which at least half is silent: it is the zone that can't be reached, and its machines will be back together. */
    private Set<String> silentZones() {
        Map<String, Integer> silent = new HashMap<>();
        Map<String, Integer> all = new HashMap<>();
        for (MachineRecord machine : context.clusterState().machines()) {
            if (machine.condition() == Condition.SILENT) {
                silent.merge(machine.zone(), 1, Integer::sum);
            }
            if (machine.condition() != Condition.BOOTING) {
                all.merge(machine.zone(), 1, Integer::sum);
            }
        }
        silent.entrySet().removeIf(e -> e.getValue() * 2 < all.get(e.getKey()));
        return silent.keySet();
    }

    private String whyUnfit(MachineRecord machine, Set<String> silentZones, Instant now) {
        if (inventory.failed(machine.name()) && machine.condition() != Condition.RETURNING) {
            return "the cloud lists it as failed";
        }
        return switch (machine.condition()) {
            case BOOTING -> doesNotComeUp(machine, now) ? "it does not come up" : null;
            case FAULTY ->
                context.clusterState().claimsOn(machine.name()).isEmpty() ? "its owner found it faulty" : null;
            case SILENT -> whySilentIsUnfit(machine, silentZones, now);
            default -> null;
        };
    }

    private boolean doesNotComeUp(MachineRecord machine, Instant now) {
        if (now.isBefore(activeSince.plus(SETTLING))
                || !context.clusterState().claimsOn(machine.name()).isEmpty()) {
            return false;
        }
        return bootTimeEstimator.isGivenUp(machine);
    }

    private String whySilentIsUnfit(MachineRecord machine, Set<String> silentZones, Instant now) {
        int times = silentZones.contains(machine.zone()) ? ZONE_PATIENCE : 1;
        Duration patience = context.operator().silentBeforeReturn().multipliedBy(times);
        Duration age = context.age(machine);
        if (age.compareTo(context.settings().workerLease().plus(patience)) > 0) {
            return "it has been silent for too long";
        }
        return inventory.noLongerListed(machine.name(), now.minus(age)) ? "it is silent and no longer listed" : null;
    }

    // ---- idle machines

    /** Marks idle machines beyond the wanted number to be returned, once they have been idle for long enough. */
    void retireSurplus(Instant now, InstanceCounts wanted, InstanceCounts have) {
        List<MachineRecord> idle = idleForLong(now);
        if (now.isBefore(nextTrim)) {
            return;
        }
        nextTrim = now.plus(TRIM_EVERY);
        MachineBatchChange change = newChange();
        Map<String, Integer> going = new HashMap<>();
        for (MachineRecord machine : idle) {
            // Judged by type: what spot machines can't give just now is not to be returned because they might.
            int surplus =
                    have.ofType(machine.type()) - wanted.ofType(machine.type()) - going.getOrDefault(machine.type(), 0);
            if (surplus > 0
                    && !inFlight.contains(machine.name())
                    && change.mark(machine.name(), MachineBatch.ServiceState.RETIRING)) {
                LOG.info("returning {}: idle", machine.name());
                going.merge(machine.type(), 1, Integer::sum);
            }
        }
        write(change);
    }

    /** Ordinary machines first, then those that have been idle longest. */
    private List<MachineRecord> idleForLong(Instant now) {
        List<MachineRecord> idle = new ArrayList<>();
        for (MachineRecord machine : context.clusterState().machines()) {
            if (!isIdle(machine)) {
                idleSince.remove(machine.name());
            } else if (now.isAfter(
                    idleSince.computeIfAbsent(machine.name(), n -> now).plus(idlePatience))) {
                idle.add(machine);
            }
        }
        idleSince.keySet().removeIf(name -> context.clusterState().machine(name) == null);
        idle.sort(Comparator.comparing(MachineRecord::spot)
                .thenComparing(machine -> idleSince.get(machine.name()))
                .thenComparing(MachineRecord::name));
        return idle;
    }

    // ---- returns

    /** Returns what is marked to go. */
    void returnMachines() {
        List<MachineRecord> going = new ArrayList<>();
        MachineBatchChange staying = newChange();
        for (MachineRecord machine : context.clusterState().machines()) {
            if (inFlight.contains(machine.name()) || goneNow.contains(machine.name())) {
                continue;
            }
            boolean claimed = !context.clusterState().claimsOn(machine.name()).isEmpty();
            boolean retired = machine.condition() == Condition.RETIRING && batchesAreCurrent(machine);
            boolean goes = machine.condition() == Condition.RETURNING || (retired && !claimed);
            if (goes && going.size() < MOST_RETURNED) {
                going.add(machine);
            } else if (retired && claimed) {
                // A claim does not change the record, so one may have come first without our knowing.
                staying.mark(machine.name(), MachineBatch.ServiceState.IN_SERVICE);
            }
        }
        write(staying);
        dropGone();
        if (!going.isEmpty()) {
            returnMachines(going);
        }
    }

    /** Whether our replica has passed the last change of all batches that a machine is in. */
    private boolean batchesAreCurrent(MachineRecord machine) {
        return context.clusterState().batchesOf(machine.name()).stream()
                .allMatch(b -> context.replica().revision() >= context.replica().modRevision(Keys.batch(b)));
    }

    private void returnMachines(List<MachineRecord> going) {
        List<String> names = going.stream().map(MachineRecord::name).toList();
        String body = CloudMessages.giveBack(names);
        if (context.cloud().call("POST", "/machines/return", body, reply -> returnAnswered(going, names, reply))) {
            inFlight.addAll(names);
        }
    }

    private void returnAnswered(List<MachineRecord> going, List<String> names, HttpCalls.Reply reply) {
        if (!reply.ok()) {
            context.loop().after(RETRY, () -> inFlight.removeAll(names));
            return;
        }
        inFlight.removeAll(names);
        inventory.returned(names);
        going.forEach(machine -> capacityRefusals.available(InstanceOffer.of(machine)));
        // By now the machines and all on them are gone. The records' absence tells the owners so.
        goneNow.addAll(names);
    }

    private void dropGone() {
        goneNow.removeIf(name -> context.clusterState().machine(name) == null);
        if (goneNow.isEmpty() || context.loop().now().isBefore(nextDrop)) {
            return;
        }
        nextDrop = context.loop().now().plus(DROP_EVERY);
        MachineBatchChange change = newChange();
        goneNow.forEach(change::drop);
        write(change);
    }
}
