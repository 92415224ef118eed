package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;

/** Decides which machines are of no use and should be returned, and why. */
final class UnfitMachineDetector {
    /** A new provisioner first lets the owners report what they hear of machines that boot. */
    private static final Duration STABILIZATION_PERIOD = Duration.ofSeconds(20);
    /**
     * Times as long that machines are waited for whose zone is silent as a whole: a network partition takes about a minute.
     */
    private static final int SILENT_ZONE_FACTOR = 3;

    private final ProvisioningContext context;
    private final CloudInventory inventory;
    private final BootTimeEstimator bootTimeEstimator;
    private Instant activeSince;

    UnfitMachineDetector(ProvisioningContext context, CloudInventory inventory, BootTimeEstimator bootTimeEstimator) {
        this.context = context;
        this.inventory = inventory;
        this.bootTimeEstimator = bootTimeEstimator;
    }

    /** Starts the stabilization period; called before any decision. This controller has become the provisioner. */
    void reset(Instant now) {
        activeSince = now;
    }

    /**
     * Zones of which at least half the machines are silent: it is the zone that can't be reached, and its machines will be
     * back together.
     */
    Set<String> silentZones() {
        Map<String, Integer> silent = new HashMap<>();
        Map<String, Integer> reporting = new HashMap<>();
        for (MachineRecord machine : context.clusterState().machines()) {
            if (machine.condition() == Condition.SILENT) {
                silent.merge(machine.zone(), 1, Integer::sum);
            }
            if (machine.condition() != Condition.BOOTING) {
                reporting.merge(machine.zone(), 1, Integer::sum);
            }
        }
        silent.entrySet().removeIf(entry -> entry.getValue() * 2 < reporting.get(entry.getKey()));
        return silent.keySet();
    }

    /** Why a machine should be returned; empty if it should not. */
    Optional<ReturnReason> reasonToReturn(MachineRecord machine, Set<String> silentZones, Instant now) {
        if (inventory.isFailed(machine.name()) && machine.condition() != Condition.RETURNING) {
            return Optional.of(ReturnReason.FAILED_IN_CLOUD);
        }
        return switch (machine.condition()) {
            case BOOTING -> bootTimedOut(machine, now) ? Optional.of(ReturnReason.BOOT_TIMEOUT) : Optional.empty();
            case FAULTY -> hasClaims(machine) ? Optional.empty() : Optional.of(ReturnReason.FAULTY);
            case SILENT -> reasonToReturnSilent(machine, silentZones, now);
            default -> Optional.empty();
        };
    }

    private boolean hasClaims(MachineRecord machine) {
        return !context.clusterState().claimsOn(machine.name()).isEmpty();
    }

    private boolean bootTimedOut(MachineRecord machine, Instant now) {
        if (now.isBefore(activeSince.plus(STABILIZATION_PERIOD)) || hasClaims(machine)) {
            return false;
        }
        return bootTimeEstimator.isGivenUp(machine);
    }

    private Optional<ReturnReason> reasonToReturnSilent(MachineRecord machine, Set<String> silentZones, Instant now) {
        int factor = silentZones.contains(machine.zone()) ? SILENT_ZONE_FACTOR : 1;
        Duration patience = context.operator().silentBeforeReturn().multipliedBy(factor);
        Duration silentFor = context.timeInCondition(machine);
        if (silentFor.compareTo(context.settings().agentLease().plus(patience)) > 0) {
            return Optional.of(ReturnReason.SILENT_TOO_LONG);
        }
        return inventory.isNoLongerListed(machine.name(), now.minus(silentFor))
                ? Optional.of(ReturnReason.SILENT_AND_UNLISTED)
                : Optional.empty();
    }
}
