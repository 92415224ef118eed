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

/** How many machines the jobs that are bound to one zone need there. */
final class ZoneDemand {
    private ZoneDemand() {}

    /**
     * Machines by offer: for each job that is bound to a zone, of the cheapest kind that it allows and that was not refused
     * there lately. The number of machines elsewhere says nothing of them. bound-to-an-empty-zone.trace
     */
    static Object2DoubleOpenHashMap<InstanceOffer> machines(
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

    /** What the cloud offers in the job's zone that its tasks may run on. */
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

    /** A small part of a machine would be rounded down to none for good. lone-ordinary-task.trace */
    private static double machinesFor(TaskDemand demand, InstanceKind kind, Map<String, MachineType> types) {
        double machines = demand.tasks() / TaskPacking.tasksPerMachine(demand.spec(), types.get(kind.type()));
        return demand.isUnplaceable() ? Math.max(1, machines) : machines;
    }
}
