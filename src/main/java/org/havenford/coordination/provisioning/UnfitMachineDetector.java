package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;

/** Detects machines that are unfit for use and should be returned to the cloud. */
final class UnfitMachineDetector {
    /** Time after becoming the leader in which no boot times out, so that owners can report machines that came up. */
    private static final Duration STABILIZATION_PERIOD = Duration.ofSeconds(20);
    /** Multiple of the silence limit that applies in a silent zone, since a network partition lasts about a minute. */
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

    /** Starts the stabilization period; called when this controller becomes the provisioning leader. */
    void reset(Instant now) {
        activeSince = now;
    }

    /**
     * Returns the zones in which at least half of the machines that have booted are silent. Such a zone is presumably
     * unreachable as a whole, and its machines are expected to report again once it is reachable.
     */
    Set<String> silentZones() {
        Map<String, Integer> silent = new HashMap<>();
        Map<String, Integer> booted = new HashMap<>();
        for (MachineRecord machine : context.clusterState().machines()) {
            if (machine.condition() == Condition.SILENT) {
                silent.merge(machine.zone(), 1, Integer::sum);
            }
            if (machine.condition() != Condition.BOOTING) {
                booted.merge(machine.zone(), 1, Integer::sum);
            }
        }
        silent.entrySet().removeIf(entry -> entry.getValue() * 2 < booted.get(entry.getKey()));
        return silent.keySet();
    }

    /** Returns the reason for returning a machine, or empty if it should be kept. */
    Optional<ReturnReason> reasonToReturn(MachineRecord machine, Set<String> silentZones, Instant now) {
        if (inventory.isFailed(machine.name()) && machine.condition() != Condition.RETURNING) {
            return Optional.of(ReturnReason.FAILED_IN_CLOUD);
        }
        return switch (machine.condition()) {
            case BOOTING -> hasBootTimedOut(machine, now) ? Optional.of(ReturnReason.BOOT_TIMEOUT) : Optional.empty();
            case FAULTY -> hasClaims(machine) ? Optional.empty() : Optional.of(ReturnReason.FAULTY);
            case SILENT -> reasonToReturnSilent(machine, silentZones, now);
            default -> Optional.empty();
        };
    }

    private boolean hasClaims(MachineRecord machine) {
        return !context.clusterState().claimsOn(machine.name()).isEmpty();
    }

    private boolean hasBootTimedOut(MachineRecord machine, Instant now) {
        if (now.isBefore(activeSince.plus(STABILIZATION_PERIOD)) || hasClaims(machine)) {
            return false;
        }
        return bootTimeEstimator.hasTimedOut(machine);
    }

    private Optional<ReturnReason> reasonToReturnSilent(MachineRecord machine, Set<String> silentZones, Instant now) {
        int factor = silentZones.contains(machine.zone()) ? SILENT_ZONE_FACTOR : 1;
        Duration silenceLimit = context.operatorSettings().silentBeforeReturn().multipliedBy(factor);
        Duration silentFor = context.timeInCondition(machine);
        if (silentFor.compareTo(context.settings().agentLease().plus(silenceLimit)) > 0) {
            return Optional.of(ReturnReason.SILENT_TOO_LONG);
        }
        return inventory.isNoLongerListed(machine.name(), now.minus(silentFor))
                ? Optional.of(ReturnReason.SILENT_AND_UNLISTED)
                : Optional.empty();
    }
}
