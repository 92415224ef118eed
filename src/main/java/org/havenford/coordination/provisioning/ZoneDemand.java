package org.havenford.coordination.provisioning;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;

/** Computes the machines required in each zone by the jobs that may run in that zone only. */
final class ZoneDemand {
    private ZoneDemand() {}

    /**
     * Returns the required machines by offer, as fractional numbers. Each job that is bound to a zone uses the cheapest
     * offer in that zone that it allows and that the cloud has not recently {@code refused}. This demand is computed
     * apart from the total, because machines in other zones cannot meet it. See bound-to-an-empty-zone.trace.
     */
    static Object2DoubleOpenHashMap<InstanceOffer> requiredMachines(
            List<TaskDemand> taskDemands, Map<String, MachineType> types, Predicate<InstanceOffer> refused) {
        Object2DoubleOpenHashMap<InstanceOffer> machines = new Object2DoubleOpenHashMap<>();
        for (TaskDemand demand : taskDemands) {
            JobSpec spec = demand.spec();
            if (spec.zone() != null && demand.tasks() > 0) {
                offersInZone(spec, types).stream()
                        .filter(refused.negate())
                        .min(Comparator.comparingDouble(offer -> costPerTask(spec, offer.kind(), types)))
                        .ifPresent(offer -> machines.addTo(offer, machinesFor(demand, offer.kind(), types)));
            }
        }
        return machines;
    }

    /** Returns the offers in the job's zone that its tasks may run on. */
    private static List<InstanceOffer> offersInZone(JobSpec spec, Map<String, MachineType> types) {
        List<InstanceOffer> offers = new ArrayList<>();
        for (MachineType type : types.values()) {
            for (boolean spot : new boolean[] {true, false}) {
                boolean allowed = type.zones().contains(spec.zone())
                        && PlacementRules.checkMachine(spec, type, spec.zone(), spot)
                                .allowed();
                if (allowed) {
                    offers.add(new InstanceOffer(new InstanceKind(type.name(), spot), spec.zone()));
                }
            }
        }
        return offers;
    }

    private static double costPerTask(JobSpec spec, InstanceKind kind, Map<String, MachineType> types) {
        return TaskPacking.costPerTask(spec, types.get(kind.type()), kind.spot());
    }

    /**
     * Returns the machines of one kind for a demand. An unplaceable job requires at least one whole machine, because a
     * small fraction would always be rounded down to zero. See lone-ordinary-task.trace.
     */
    private static double machinesFor(TaskDemand demand, InstanceKind kind, Map<String, MachineType> types) {
        double machines = demand.tasks() / TaskPacking.tasksPerMachine(demand.spec(), types.get(kind.type()));
        return demand.isUnplaceable() ? Math.max(1, machines) : machines;
    }
}
