package org.havenford.coordination.provisioning;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Predicate;
import org.havenford.protocol.MachineType;

/**
 * How many machines of each kind are wanted: the need of the moment, and averages over a window that keep the fleet from
 * following every burst.
 */
final class FleetSizeTarget {
    private static final Duration AVERAGE_WINDOW = Duration.ofSeconds(90);
    /** Window of the average that ordinary machines follow. */
    private static final Duration SUSTAINED_WINDOW = Duration.ofSeconds(8);
    /** So small a part of a machine is not requested. */
    private static final double IGNORED_PART = 0.05;

    private final ScalingGoal goal;
    private final double spareShare;
    private final Object2DoubleOpenHashMap<InstanceKind> average = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<InstanceKind> sustained = new Object2DoubleOpenHashMap<>();
    /** Null until the first demand is taken in. */
    private Instant averagedAt;

    /** Spot machines are kept beyond their average by {@code spareShare} of it. */
    FleetSizeTarget(ScalingGoal goal, double spareShare) {
        this.goal = goal;
        this.spareShare = spareShare;
    }

    /** The next demand counts in full: what came before was another controller's. */
    void reset() {
        averagedAt = null;
    }

    /** Whole machines for a need that is not a whole number. */
    static int wholeMachines(double need) {
        return (int) Math.ceil(need - IGNORED_PART);
    }

    /**
     * The wanted numbers. The average follows what could be used at once, so that the next burst finds room; the need of the
     * moment is what is needed in time, unless speed comes first, so that a burst does not fill the fleet with machines that
     * come up too late for it. A kind that the cloud has refused everywhere ({@code exhausted}) counts with the machines that
     * are {@code present}.
     */
    InstanceCounts wanted(
            Instant now,
            Iterable<MachineType> types,
            MachineDemand demand,
            Predicate<InstanceKind> exhausted,
            InstanceCounts present) {
        double averageWeight = averagedAt == null ? 1 : weight(now, AVERAGE_WINDOW);
        double sustainedWeight = averagedAt == null ? 0 : weight(now, SUSTAINED_WINDOW);
        averagedAt = now;
        InstanceCounts wanted = new InstanceCounts();
        for (MachineType type : types) {
            for (boolean spot : new boolean[] {true, false}) {
                InstanceKind kind = new InstanceKind(type.name(), spot);
                double need = (goal == ScalingGoal.SPEED ? demand.allAtOnce() : demand.asNeeded()).getDouble(kind);
                average.addTo(kind, (demand.allAtOnce().getDouble(kind) - average.getDouble(kind)) * averageWeight);
                if (exhausted.test(kind)) {
                    // A need that can't be met must not hold on to machines of another kind in its place.
                    average.put(kind, Math.min(average.getDouble(kind), present.get(kind)));
                }
                sustained.addTo(kind, (need - sustained.getDouble(kind)) * sustainedWeight);
                wanted.add(kind, wholeMachines(machinesWanted(kind, need)));
            }
        }
        return wanted;
    }

    /**
     * Spot machines are kept for work that has not come yet. Ordinary ones cost three times as much: they are requested for a
     * need that lasts longer than they take to boot.
     */
    private double machinesWanted(InstanceKind kind, double need) {
        return goal == ScalingGoal.SPEED || kind.spot()
                ? Math.max(need, average.getDouble(kind) * (1 + spareShare))
                : sustained.getDouble(kind);
    }

    /** Weight of the present value in an average over a window. */
    private double weight(Instant now, Duration window) {
        return Math.min(1, Duration.between(averagedAt, now).toMillis() / (double) window.toMillis());
    }
}
