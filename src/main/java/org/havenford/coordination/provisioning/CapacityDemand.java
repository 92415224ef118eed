package org.havenford.coordination.provisioning;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;

/** How many machines of each kind the unfinished work asks for: spreads the tasks over the kinds, cheapest first. */
public final class CapacityDemand {
    /** A demand and the number of types it can be met with, counted once: there may be a thousand jobs. */
    private record RankedDemand(TaskDemand demand, int fittingTypes) {}

    /** Times its price that a type counts with for a job that has other types, while some job has no other. */
    private static final double CONTENDED_COST_FACTOR = 1.5;
    /** So many kinds, one type as spot and as ordinary instance, leave a job no other type. */
    private static final int KINDS_OF_ONE_TYPE = 2;
    /** Fewer tasks than this are a rounding error. */
    private static final double NO_TASKS = 1e-9;

    private final Map<String, MachineType> types;
    private final Predicate<InstanceKind> exhausted;
    private final InstanceCounts present;
    private final Object2DoubleOpenHashMap<InstanceKind> machines = new Object2DoubleOpenHashMap<>();
    /** Types that some job can't do without. */
    private final Set<String> contendedTypes = new HashSet<>();

    private boolean otherMachineRequested;

    private CapacityDemand(Map<String, MachineType> types, Predicate<InstanceKind> exhausted, InstanceCounts present) {
        this.types = types;
        this.exhausted = exhausted;
        this.present = present;
    }

    /**
     * Machines by kind, not in whole numbers. The jobs with the least choice go first. A kind that the cloud has refused
     * everywhere ({@code exhausted}) counts only with the machines that are {@code present}.
     */
    public static Object2DoubleOpenHashMap<InstanceKind> machines(
            List<TaskDemand> taskDemands,
            Map<String, MachineType> types,
            Predicate<InstanceKind> exhausted,
            InstanceCounts present) {
        CapacityDemand capacity = new CapacityDemand(types, exhausted, present);
        for (RankedDemand ranked : capacity.rankByChoice(taskDemands)) {
            capacity.add(ranked.demand());
        }
        return capacity.machines;
    }

    /** The demands with the least choice of types first; notes the types that some job can't do without. */
    private List<RankedDemand> rankByChoice(List<TaskDemand> taskDemands) {
        List<RankedDemand> ranked = new ArrayList<>();
        for (TaskDemand demand : taskDemands) {
            if (demand.tasks() <= 0) {
                continue;
            }
            List<String> fittingTypes = types.values().stream()
                    .filter(type -> isAllowed(demand.spec(), type, false))
                    .map(MachineType::name)
                    .toList();
            if (fittingTypes.size() == 1) {
                contendedTypes.add(fittingTypes.get(0));
            }
            ranked.add(new RankedDemand(demand, fittingTypes.size()));
        }
        ranked.sort(Comparator.comparingInt(RankedDemand::fittingTypes)
                .thenComparing(demand -> demand.demand().spec().id()));
        return ranked;
    }

    private void add(TaskDemand demand) {
        List<InstanceKind> kinds = kindsByCost(demand.spec());
        if (demand.needsAnotherMachine() && !otherMachineRequested) {
            // Its tasks have failed on the machines that there are, and may be avoiding them. One more for all such
            // jobs: most of them were submitted with a mistake. lone-faulty-machine.trace
            otherMachineRequested = true;
            kinds.stream().filter(exhausted.negate()).findFirst().ifPresent(kind -> machines.addTo(kind, 1));
        }
        double tasks = demand.tasks();
        for (InstanceKind kind : kinds) {
            int tasksPerMachine = TaskPacking.tasksPerMachine(demand.spec(), types.get(kind.type()));
            double needed = limitToAvailable(demand, kind, tasks / tasksPerMachine);
            machines.addTo(kind, needed);
            tasks -= needed * tasksPerMachine;
            if (tasks <= NO_TASKS) {
                break;
            }
        }
    }

    private double limitToAvailable(TaskDemand demand, InstanceKind kind, double needed) {
        if (exhausted.test(kind)) {
            return Math.min(needed, Math.max(0, present.get(kind) - machines.getDouble(kind)));
        }
        if (demand.isUnplaceable()) {
            // A small part of a machine would be rounded down to none for good. lone-ordinary-task.trace
            return Math.max(needed, 1 - machines.getDouble(kind));
        }
        return needed;
    }

    /** Kinds that a job may use, the cheapest first; a type that others can't do without is dearer than its price. */
    private List<InstanceKind> kindsByCost(JobSpec spec) {
        List<InstanceKind> kinds = new ArrayList<>();
        for (MachineType type : types.values()) {
            for (boolean spot : new boolean[] {true, false}) {
                if (isAllowed(spec, type, spot)) {
                    kinds.add(new InstanceKind(type.name(), spot));
                }
            }
        }
        boolean hasOtherTypes = kinds.size() > KINDS_OF_ONE_TYPE;
        kinds.sort(Comparator.comparingDouble(kind -> weightedCost(spec, kind, hasOtherTypes)));
        return kinds;
    }

    private double weightedCost(JobSpec spec, InstanceKind kind, boolean hasOtherTypes) {
        boolean avoided = hasOtherTypes && contendedTypes.contains(kind.type());
        return TaskPacking.costPerTask(spec, types.get(kind.type()), kind.spot())
                * (avoided ? CONTENDED_COST_FACTOR : 1);
    }

    private static boolean isAllowed(JobSpec spec, MachineType type, boolean spot) {
        return type.zones().stream().anyMatch(zone -> PlacementRules.checkMachine(spec, type, zone, spot)
                .allowed());
    }
}
