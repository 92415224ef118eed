package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;

/** Keeps since when machines have been idle, and tells which have been idle for the idle period. */
final class IdleMachines {
    /**
     * Times as long that machines stay idle where speed comes first: long enough for the next burst. Not for ever, since a
     * thousand machines without work still report, and cost most of the processor time of a quiet hour.
     */
    private static final int IDLE_FACTOR_FOR_SPEED = 6;

    private final ClusterState clusterState;
    private final Duration configuredPeriod;
    private final Duration idlePeriod;
    private final Map<String, Instant> idleSince = new HashMap<>();

    /** Machines may be returned after {@code configuredPeriod} without a claim; after a longer time if speed comes first. */
    IdleMachines(ClusterState clusterState, Duration configuredPeriod, ScalingGoal goal) {
        this.clusterState = clusterState;
        this.configuredPeriod = configuredPeriod;
        this.idlePeriod =
                goal == ScalingGoal.SPEED ? configuredPeriod.multipliedBy(IDLE_FACTOR_FOR_SPEED) : configuredPeriod;
    }

    /** Starts anew: this controller has become the provisioner. */
    void reset(Instant now) {
        idleSince.clear();
        // The predecessor knew since when machines have been idle; half the period is a fair estimate.
        Instant estimated = now.minus(configuredPeriod.dividedBy(2));
        for (MachineRecord machine : clusterState.machines()) {
            if (isIdle(machine, clusterState)) {
                idleSince.put(machine.name(), estimated);
            }
        }
    }

    /** Whether a machine is up and nothing is claimed on it. */
    static boolean isIdle(MachineRecord machine, ClusterState clusterState) {
        return machine.condition() == Condition.UP
                && clusterState.claimsOn(machine.name()).isEmpty();
    }

    /** Machines that have been idle for longer than the idle period: ordinary ones first, then the longest idle. */
    List<MachineRecord> idleForPeriod(Instant now) {
        List<MachineRecord> idle = new ArrayList<>();
        for (MachineRecord machine : clusterState.machines()) {
            if (!isIdle(machine, clusterState)) {
                idleSince.remove(machine.name());
                continue;
            }
            Instant since = idleSince.computeIfAbsent(machine.name(), name -> now);
            if (now.isAfter(since.plus(idlePeriod))) {
                idle.add(machine);
            }
        }
        idleSince.keySet().removeIf(name -> clusterState.machine(name) == null);
        idle.sort(Comparator.comparing(MachineRecord::spot)
                .thenComparing(machine -> idleSince.get(machine.name()))
                .thenComparing(MachineRecord::name));
        return idle;
    }
}
