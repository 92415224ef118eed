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

/** Tracks since when machines have been idle, and finds those idle for longer than the idle period. */
final class IdleMachines {
    /**
     * Multiple of the configured idle period that applies under {@link ScalingGoal#SPEED}, so that machines are kept
     * until the next burst. The period is limited because idle machines still report: a thousand of them account for
     * most of the controller's CPU time in a quiet hour.
     */
    private static final int IDLE_FACTOR_FOR_SPEED = 6;

    private final ClusterState clusterState;
    private final Duration configuredPeriod;
    private final Duration idlePeriod;
    private final Map<String, Instant> idleSince = new HashMap<>();

    /**
     * Creates a tracker whose idle period is {@code configuredPeriod}, or a multiple of it under
     * {@link ScalingGoal#SPEED}.
     */
    IdleMachines(ClusterState clusterState, Duration configuredPeriod, ScalingGoal goal) {
        this.clusterState = clusterState;
        this.configuredPeriod = configuredPeriod;
        this.idlePeriod =
                goal == ScalingGoal.SPEED ? configuredPeriod.multipliedBy(IDLE_FACTOR_FOR_SPEED) : configuredPeriod;
    }

    /** Restarts the tracking; called when this controller becomes the provisioning leader. */
    void reset(Instant now) {
        idleSince.clear();
        // The times known to the previous leader are lost; half the configured period is assumed instead.
        Instant assumedSince = now.minus(configuredPeriod.dividedBy(2));
        for (MachineRecord machine : clusterState.machines()) {
            if (isIdle(machine, clusterState)) {
                idleSince.put(machine.name(), assumedSince);
            }
        }
    }

    /** Returns whether a machine is up and has no claims. */
    static boolean isIdle(MachineRecord machine, ClusterState clusterState) {
        return machine.condition() == Condition.UP
                && clusterState.claimsOn(machine.name()).isEmpty();
    }

    /** Returns the machines idle for longer than the idle period: on-demand ones first, then by longest idle time. */
    List<MachineRecord> idleLongerThanPeriod(Instant now) {
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
