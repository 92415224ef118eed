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

/** Computes the number of machines of each kind that a set of task demands requires, using the cheapest kinds first. */
public final class CapacityDemand {
    /** A demand and the number of types that fit it. The number is computed once, as there may be a thousand jobs. */
    private record RankedDemand(TaskDemand demand, int fittingTypes) {}

    /** Cost multiplier of a contended type for jobs that can also use other types. */
    private static final double CONTENDED_COST_FACTOR = 1.5;
    /** Each type has two kinds, spot and on-demand. A job with more kinds than that can use several types. */
    private static final int KINDS_PER_TYPE = 2;
    /** Numbers of tasks up to this one are rounding errors and count as zero. */
    private static final double TASK_EPSILON = 1e-9;

    private final Map<String, MachineType> types;
    private final Predicate<InstanceKind> exhausted;
    private final InstanceCounts present;
    private final Object2DoubleOpenHashMap<InstanceKind> machinesByKind = new Object2DoubleOpenHashMap<>();
    /** Types that are the only fitting type of at least one job. */
    private final Set<String> contendedTypes = new HashSet<>();

    private boolean extraMachineAdded;

    private CapacityDemand(Map<String, MachineType> types, Predicate<InstanceKind> exhausted, InstanceCounts present) {
        this.types = types;
        this.exhausted = exhausted;
        this.present = present;
    }

    /**
     * Returns the required machines by kind, as fractional numbers. Jobs with the fewest fitting types are assigned
     * first. A kind that the cloud has recently refused in all its zones ({@code exhausted}) is used only up to the
     * number of machines that are {@code present}.
     */
    public static Object2DoubleOpenHashMap<InstanceKind> requiredMachines(
            List<TaskDemand> taskDemands,
            Map<String, MachineType> types,
            Predicate<InstanceKind> exhausted,
            InstanceCounts present) {
        CapacityDemand capacity = new CapacityDemand(types, exhausted, present);
        for (RankedDemand ranked : capacity.rankByFittingTypes(taskDemands)) {
            capacity.addDemand(ranked.demand());
        }
        return capacity.machinesByKind;
    }

    /** Sorts the demands by ascending number of fitting types, and collects the contended types. */
    private List<RankedDemand> rankByFittingTypes(List<TaskDemand> taskDemands) {
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
                .thenComparing(ranking -> ranking.demand().spec().id()));
        return ranked;
    }

    private void addDemand(TaskDemand demand) {
        List<InstanceKind> kinds = kindsByCost(demand.spec());
        if (demand.needsAnotherMachine() && !extraMachineAdded) {
            // The job's tasks have failed on existing machines and may be excluded from them. Only one extra machine is
            // added for all such jobs, since most of them fail because of an error in their submission. See
            // lone-faulty-machine.trace.
            extraMachineAdded = true;
            kinds.stream().filter(exhausted.negate()).findFirst().ifPresent(kind -> machinesByKind.addTo(kind, 1));
        }
        double tasks = demand.tasks();
        for (InstanceKind kind : kinds) {
            int tasksPerMachine = TaskPacking.tasksPerMachine(demand.spec(), types.get(kind.type()));
            double needed = limitToAvailable(demand, kind, tasks / tasksPerMachine);
            machinesByKind.addTo(kind, needed);
            tasks -= needed * tasksPerMachine;
            if (tasks <= TASK_EPSILON) {
                break;
            }
        }
    }

    private double limitToAvailable(TaskDemand demand, InstanceKind kind, double needed) {
        if (exhausted.test(kind)) {
            return Math.min(needed, Math.max(0, present.get(kind) - machinesByKind.getDouble(kind)));
        }
        if (demand.isUnplaceable()) {
            // A small fraction of a machine would always be rounded down to zero. See lone-ordinary-task.trace.
            return Math.max(needed, 1 - machinesByKind.getDouble(kind));
        }
        return needed;
    }

    /**
     * Returns the kinds that a job may use, in ascending order of cost per task, with a surcharge on contended types.
     */
    private List<InstanceKind> kindsByCost(JobSpec spec) {
        List<InstanceKind> kinds = new ArrayList<>();
        for (MachineType type : types.values()) {
            for (boolean spot : new boolean[] {true, false}) {
                if (isAllowed(spec, type, spot)) {
                    kinds.add(new InstanceKind(type.name(), spot));
                }
            }
        }
        boolean hasOtherTypes = kinds.size() > KINDS_PER_TYPE;
        kinds.sort(Comparator.comparingDouble(kind -> weightedCost(spec, kind, hasOtherTypes)));
        return kinds;
    }

    private double weightedCost(JobSpec spec, InstanceKind kind, boolean hasOtherTypes) {
        boolean contended = hasOtherTypes && contendedTypes.contains(kind.type());
        return TaskPacking.costPerTask(spec, types.get(kind.type()), kind.spot())
                * (contended ? CONTENDED_COST_FACTOR : 1);
    }

    private static boolean isAllowed(JobSpec spec, MachineType type, boolean spot) {
        return type.zones().stream().anyMatch(zone -> PlacementRules.checkMachine(spec, type, zone, spot)
                .allowed());
    }
}
