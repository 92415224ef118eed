package org.havenford.coordination.provisioning;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Predicate;
import org.havenford.protocol.MachineType;

/**
 * Computes the target number of machines of each kind from the current demand and from moving averages, which keep the
 * fleet size from following every burst.
 */
final class FleetSizeTarget {
    /** Window of the average that keeps machines for the next burst. */
    private static final Duration AVERAGE_WINDOW = Duration.ofSeconds(90);
    /** Window of the average that determines the number of on-demand machines under {@link ScalingGoal#COST}. */
    private static final Duration SUSTAINED_WINDOW = Duration.ofSeconds(8);
    /** Fractions of a machine up to this size are not rounded up to a whole machine. */
    private static final double NEGLIGIBLE_FRACTION = 0.05;

    private final ScalingGoal goal;
    private final double spareShare;
    private final Object2DoubleOpenHashMap<InstanceKind> average = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<InstanceKind> sustained = new Object2DoubleOpenHashMap<>();
    /** Time of the last update of the averages; null if there has been none since the last reset. */
    private Instant lastUpdatedAt;

    /** Creates a target that adds {@code spareShare} to the average as spare capacity for the next burst. */
    FleetSizeTarget(ScalingGoal goal, double spareShare) {
        this.goal = goal;
        this.spareShare = spareShare;
    }

    /**
     * Makes the averages restart from the next demand. Called when this controller becomes the provisioning leader, as
     * its averages do not include the demand during the previous leader's time.
     */
    void reset() {
        lastUpdatedAt = null;
    }

    /** Rounds a fractional number of machines up, ignoring a negligible fraction. */
    static int wholeMachines(double machines) {
        return (int) Math.ceil(machines - NEGLIGIBLE_FRACTION);
    }

    /**
     * Updates the averages and returns the target numbers. The long-term average follows the demand of running all
     * tasks at once, so that capacity for the next burst is kept. The current demand is what the jobs need to be in
     * time, so that a burst does not launch machines that boot too late for it; under {@link ScalingGoal#SPEED} it is
     * the demand of all tasks at once as well. For a kind that the cloud has recently refused in all its zones
     * ({@code exhausted}), the average is limited to the machines that are {@code present}.
     */
    InstanceCounts wanted(
            Instant now,
            Iterable<MachineType> types,
            MachineDemand demand,
            Predicate<InstanceKind> exhausted,
            InstanceCounts present) {
        double averageWeight = lastUpdatedAt == null ? 1 : weight(now, AVERAGE_WINDOW);
        double sustainedWeight = lastUpdatedAt == null ? 0 : weight(now, SUSTAINED_WINDOW);
        lastUpdatedAt = now;
        InstanceCounts wanted = new InstanceCounts();
        for (MachineType type : types) {
            for (boolean spot : new boolean[] {true, false}) {
                InstanceKind kind = new InstanceKind(type.name(), spot);
                double required = (goal == ScalingGoal.SPEED ? demand.allAtOnce() : demand.asNeeded()).getDouble(kind);
                average.addTo(kind, (demand.allAtOnce().getDouble(kind) - average.getDouble(kind)) * averageWeight);
                if (exhausted.test(kind)) {
                    // Surplus is computed per type, so a target for machines of this kind that are unavailable would
                    // retain machines of the type's other kind.
                    average.put(kind, Math.min(average.getDouble(kind), present.get(kind)));
                }
                sustained.addTo(kind, (required - sustained.getDouble(kind)) * sustainedWeight);
                wanted.add(kind, wholeMachines(targetFor(kind, required)));
            }
        }
        return wanted;
    }

    /**
     * Returns the target for one kind, as a fractional number. Spot machines, and under {@link ScalingGoal#SPEED} all
     * machines, are also kept for work that has not arrived yet. On-demand machines cost three times as much, so they
     * otherwise follow the sustained demand: they are requested only for demand that lasts longer than their boot time.
     */
    private double targetFor(InstanceKind kind, double required) {
        return goal == ScalingGoal.SPEED || kind.spot()
                ? Math.max(required, average.getDouble(kind) * (1 + spareShare))
                : sustained.getDouble(kind);
    }

    /** Returns the weight of the current value in a moving average over {@code window}. */
    private double weight(Instant now, Duration window) {
        return Math.min(1, Duration.between(lastUpdatedAt, now).toMillis() / (double) window.toMillis());
    }
}
