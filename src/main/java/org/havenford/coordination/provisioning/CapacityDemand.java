package org.havenford.coordination.provisioning;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.coordination.scheduling.FailingJobBackoff;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;

/** How many machines of each kind the unfinished work asks for. */
public final class CapacityDemand {
    /** A type of machine, spot or ordinary. */
    public record InstanceKind(String type, boolean spot) {}

    /** A kind of machine in one zone, which is what the cloud rents out. */
    record InstanceOffer(InstanceKind kind, String zone) {}

    /**
     * Tasks of one job that should be able to run at the same time; one that is stuck needs a whole machine to begin with, and
     * one that is stuck after failures another machine than those there are.
     */
    public record TaskDemand(JobSpec spec, double tasks, boolean unplaceable, boolean needsAnother) {}

    /** How many types a demand can be met with, counted once: there may be a thousand jobs. */
    private record Choices(TaskDemand demand, int types) {}

    /** A job without a running task for this long after it came is stuck: what is there does not take it. */
    private static final Duration STUCK = Duration.ofSeconds(30);

    /** Jobs that seem to fail everywhere, of those that fit the same types, that machines are rented for. */
    private static final int MOST_SUSPECTS = 2;

    private static final double AWAITED = 1.5;
    /** Part of the wait that a class allows that is used to run its tasks one after the other. */
    private static final double FOLLOWING = 0.5;

    private CapacityDemand() {}

    /** Tasks of a job that fit on one machine. */
    static int slots(JobSpec spec, MachineType type) {
        double n = type.cpus() / spec.cpus();
        if (spec.gpus() > 0) {
            n = Math.min(n, type.gpus() / spec.gpus());
        }
        if (spec.memGb() > 0) {
            n = Math.min(n, type.memGb() / spec.memGb());
        }
        return (int) Math.floor(n + 1e-9);
    }

    /**
     * What each job could use. With {@code patient}, no more than it needs: a job with a deadline can run its tasks one
     * after the other while there is time, and one without need not have a machine boot for a task that an earlier one
     * will have made room for by then.
     */
    public static List<TaskDemand> taskDemands(
            ClusterState clusterState, PlatformSettings settings, Instant timeOfDay, boolean patient) {
        List<TaskDemand> out = new ArrayList<>();
        Map<String, Double> used = new HashMap<>();
        Map<String, Integer> suspects = new HashMap<>();
        for (Job job : clusterState.jobs()) {
            if (job.cancelled() || job.awaitsDependencies()) {
                continue;
            }
            JobSpec spec = job.spec();
            double left = spec.taskCount() - job.doneCount();
            double tasks = left;
            if (patient) {
                Duration median = job.medianRun();
                double run = Math.max(1, (median == null ? spec.estimatedDuration() : median).toMillis() / 1e3);
                double time = job.deadline() == null
                        ? 0
                        : Duration.between(timeOfDay, job.deadline()).toMillis() / 1e3 - fetch(spec, clusterState);
                if (time >= run) {
                    tasks = left / Math.max(1, Math.floor(time * 0.8 / run));
                } else {
                    // Where starts may wait, tasks can follow each other on fewer machines.
                    double wait = startWithin(spec, settings);
                    tasks = left * run / (run + boot(spec, clusterState)) / (1 + FOLLOWING * Math.min(1, wait / run));
                }
                tasks = Math.max(tasks, job.claimCount());
            }
            if (FailingJobBackoff.isSuspect(job)) {
                boolean counts = suspects.merge(fittingTypes(spec, clusterState), 1, Integer::sum) <= MOST_SUSPECTS;
                tasks = counts ? Math.min(tasks, 1) : 0;
            }
            PlatformSettings.Team team = settings.teams().get(spec.team());
            if (team != null && team.cpusMax() > 0) {
                double sofar = used.getOrDefault(spec.team(), 0.0);
                tasks = Math.min(tasks, Math.max(0, (team.cpusMax() - sofar) / spec.cpus()));
                used.put(spec.team(), sofar + tasks * spec.cpus());
            }
            boolean stuck = job.pendingCount() > 0
                    && job.claimCount() == 0
                    && tasks > 0
                    && timeOfDay.isAfter(job.releasedAt().plus(STUCK));
            out.add(new TaskDemand(spec, tasks, stuck, stuck && job.errors() > 0));
        }
        return out;
    }

    private static String fittingTypes(JobSpec spec, ClusterState clusterState) {
        List<String> types = new ArrayList<>();
        for (MachineType type : clusterState.types().values()) {
            if (spec.fits(type) && (spec.types() == null || spec.types().contains(type.name()))) {
                types.add(type.name());
            }
        }
        return String.join(",", types);
    }

    /** Seconds within which the class's tasks should start; 0 where nothing is said. */
    private static double startWithin(JobSpec spec, PlatformSettings settings) {
        return settings.objectives().stream()
                .filter(o -> o.kind().equals("wait") && o.jobClass().equals(spec.jobClass()) && o.within() != null)
                .mapToDouble(o -> o.within().toMillis() / 1e3)
                .min()
                .orElse(0);
    }

    private static double boot(JobSpec spec, ClusterState clusterState) {
        return clusterState.types().values().stream()
                .filter(spec::fits)
                .mapToDouble(type -> type.bootTime().toMillis() / 1e3)
                .min()
                .orElse(60);
    }

    private static double fetch(JobSpec spec, ClusterState clusterState) {
        double rate = clusterState.types().values().stream()
                .filter(spec::fits)
                .mapToDouble(MachineType::imagePullGbPerSecond)
                .max()
                .orElse(1);
        return spec.imageGb() / Math.max(0.01, rate);
    }

    /**
     * How many machines jobs that are bound to a zone need there, of the cheapest kind that they allow and that was not
     * refused there lately. The number of machines elsewhere says nothing of them. bound-to-an-empty-zone.trace
     */
    static Object2DoubleOpenHashMap<InstanceOffer> boundToZones(
            List<TaskDemand> taskDemands, Map<String, MachineType> types, Predicate<InstanceOffer> refused) {
        Object2DoubleOpenHashMap<InstanceOffer> out = new Object2DoubleOpenHashMap<>();
        for (TaskDemand demand : taskDemands) {
            JobSpec spec = demand.spec();
            if (spec.zone() != null && demand.tasks() > 0) {
                offersIn(spec, types).stream()
                        .filter(refused.negate())
                        .min(Comparator.comparingDouble(offer -> cost(
                                spec,
                                types.get(offer.kind().type()),
                                offer.kind().spot())))
                        .ifPresent(offer -> out.addTo(offer, machinesIn(demand, offer, types)));
            }
        }
        return out;
    }

    /** A small part of a machine would be rounded down to none for good. lone-ordinary-task.trace */
    private static double machinesIn(TaskDemand demand, InstanceOffer offer, Map<String, MachineType> types) {
        double need =
                demand.tasks() / slots(demand.spec(), types.get(offer.kind().type()));
        return demand.unplaceable() ? Math.max(1, need) : need;
    }

    /** What the cloud rents out in the job's zone that its tasks may run on. */
    private static List<InstanceOffer> offersIn(JobSpec spec, Map<String, MachineType> types) {
        List<InstanceOffer> offers = new ArrayList<>();
        for (MachineType type : types.values()) {
            for (boolean spot : new boolean[] {true, false}) {
                boolean allowed = type.zones().contains(spec.zone())
                        && PlacementRules.machine(spec, type, spec.zone(), spot).allowed();
                if (allowed) {
                    offers.add(new InstanceOffer(new InstanceKind(type.name(), spot), spec.zone()));
                }
            }
        }
        return offers;
    }

    private static boolean allowed(JobSpec spec, MachineType type, boolean spot) {
        return type.zones().stream()
                .anyMatch(z -> PlacementRules.machine(spec, type, z, spot).allowed());
    }

    /** Price of one task: its share of the machine while it fetches and runs. */
    private static double cost(JobSpec spec, MachineType type, boolean spot) {
        double seconds = spec.estimatedDuration().toMillis() / 1e3
                + spec.imageGb() / Math.max(0.01, type.imagePullGbPerSecond());
        return type.hourly(spot) / slots(spec, type) * seconds;
    }

    /** Kinds that a job may use, the cheapest first; what others can't do without is dearer than its price. */
    private static List<InstanceKind> kindsByCost(
            JobSpec spec, Map<String, MachineType> types, Set<String> onlyChoice) {
        List<InstanceKind> kinds = new ArrayList<>();
        for (MachineType type : types.values()) {
            for (boolean spot : new boolean[] {true, false}) {
                if (allowed(spec, type, spot)) {
                    kinds.add(new InstanceKind(type.name(), spot));
                }
            }
        }
        kinds.sort(Comparator.comparingDouble((InstanceKind k) -> cost(spec, types.get(k.type()), k.spot())
                * (kinds.size() > 2 && onlyChoice.contains(k.type()) ? AWAITED : 1)));
        return kinds;
    }

    /**
     * Spreads the taskDemands over the kinds, cheapest first; the jobs with the least choice go first. A kind that the cloud
     * has refused counts only with what is there.
     */
    public static Object2DoubleOpenHashMap<InstanceKind> machines(
            List<TaskDemand> taskDemands,
            Map<String, MachineType> types,
            Predicate<InstanceKind> exhausted,
            Map<InstanceKind, Integer> have) {
        Object2DoubleOpenHashMap<InstanceKind> out = new Object2DoubleOpenHashMap<>();
        List<Choices> sorted = new ArrayList<>();
        Set<String> onlyChoice = new HashSet<>();
        for (TaskDemand demand : taskDemands) {
            if (demand.tasks() <= 0) {
                continue;
            }
            List<String> fit = types.values().stream()
                    .filter(type -> allowed(demand.spec(), type, false))
                    .map(MachineType::name)
                    .toList();
            if (fit.size() == 1) {
                onlyChoice.add(fit.get(0));
            }
            sorted.add(new Choices(demand, fit.size()));
        }
        sorted.sort(Comparator.comparingInt(Choices::types)
                .thenComparing(choices -> choices.demand().spec().id()));
        boolean another = false;
        for (Choices choices : sorted) {
            TaskDemand demand = choices.demand();
            JobSpec spec = demand.spec();
            List<InstanceKind> kinds = kindsByCost(spec, types, onlyChoice);
            if (demand.needsAnother() && !another) {
                // Its tasks have failed on the machines that there are, and may be avoiding them. One more for all such
                // jobs: most of them were submitted with a mistake. lone-faulty-machine.trace
                another = true;
                kinds.stream().filter(exhausted.negate()).findFirst().ifPresent(k -> out.addTo(k, 1));
            }
            double tasks = demand.tasks();
            for (InstanceKind k : kinds) {
                int slots = slots(spec, types.get(k.type()));
                double need = tasks / slots;
                if (exhausted.test(k)) {
                    need = Math.min(need, Math.max(0, have.getOrDefault(k, 0) - out.getDouble(k)));
                } else if (demand.unplaceable()) {
                    // A small part of a machine would be rounded down to none for good. lone-ordinary-task.trace
                    need = Math.max(need, 1 - out.getDouble(k));
                }
                out.addTo(k, need);
                tasks -= need * slots;
                if (tasks <= 1e-9) {
                    break;
                }
            }
        }
        return out;
    }
}
