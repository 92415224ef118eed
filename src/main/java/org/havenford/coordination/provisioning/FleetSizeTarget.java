package org.havenford.coordination.provisioning;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Predicate;
import org.havenford.protocol.MachineType;

/**
 * How many machines of each kind are wanted: the need of the moment, and averages over time that keep the fleet from
 * following every burst.
 */
final class FleetSizeTarget {
    private static final Duration AVERAGE_OVER = Duration.ofSeconds(90);
    private static final Duration SUSTAINED_OVER = Duration.ofSeconds(8);
    /** So small a part of a machine is not rented for. */
    private static final double SPARE_PART = 0.05;

    private final boolean speedFirst;
    private final double spareShare;
    private final Object2DoubleOpenHashMap<InstanceKind> average = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<InstanceKind> sustained = new Object2DoubleOpenHashMap<>();
    private Instant averagedAt;

    /** Spot machines are kept beyond their average by {@code spareShare}. */
    FleetSizeTarget(boolean speedFirst, double spareShare) {
        this.speedFirst = speedFirst;
        this.spareShare = spareShare;
    }

    /** The next need counts in full: what came before was another controller's. */
    void reset() {
        averagedAt = null;
    }

    /** Whole machines for a need that is not a whole number. */
    static int wholeMachines(double need) {
        return (int) Math.ceil(need - SPARE_PART);
    }

    /**
     * The wanted numbers. {@code full} is what could be used at once, which the average follows so that the next burst finds
     * room; {@code least} is the need of the moment with patience, so that a burst does not fill the fleet with machines that
     * come up too late for it.
     */
    InstanceCounts desired(
            Instant now,
            Iterable<MachineType> types,
            Object2DoubleOpenHashMap<InstanceKind> full,
            Object2DoubleOpenHashMap<InstanceKind> least,
            Predicate<InstanceKind> exhausted,
            InstanceCounts have) {
        double weight = averagedAt == null ? 1 : part(now, AVERAGE_OVER);
        double slow = averagedAt == null ? 0 : part(now, SUSTAINED_OVER);
        averagedAt = now;
        InstanceCounts wanted = new InstanceCounts();
        for (MachineType type : types) {
            for (boolean spot : new boolean[] {true, false}) {
                InstanceKind kind = new InstanceKind(type.name(), spot);
                double need = (speedFirst ? full : least).getDouble(kind);
                average.addTo(kind, (full.getDouble(kind) - average.getDouble(kind)) * weight);
                if (exhausted.test(kind)) {
                    // A wish that can't be met must not hold on to machines of another kind in its place.
                    average.put(kind, Math.min(average.getDouble(kind), have.get(kind)));
                }
                sustained.addTo(kind, (need - sustained.getDouble(kind)) * slow);
                // Spot machines are kept for work that has not come yet. Ordinary ones cost three times as much: they
                // are rented for a need that lasts longer than they take to boot.
                double number = speedFirst || spot
                        ? Math.max(need, average.getDouble(kind) * (1 + spareShare))
                        : sustained.getDouble(kind);
                wanted.add(kind, wholeMachines(number));
            }
        }
        return wanted;
    }

    private double part(Instant now, Duration of) {
        return Math.min(1, Duration.between(averagedAt, now).toMillis() / (double) of.toMillis());
    }
}
