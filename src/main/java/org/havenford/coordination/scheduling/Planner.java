package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.coordination.placement.TaskZones;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.TaskId;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.TaskRange;
import org.havenford.storage.records.TeamQuota.Resources;

/**
 * Decides what should run where, from a snapshot. Every controller plans for the whole fleet and claims only on the
 * machines it owns; since all see the same store, their plans mostly agree, and a guarded claim settles the rest. The
 * tasks of one chunk go to machines of one owner at a time, as owners that fill one key only get in each other's way.
 */
public final class Planner {
    /** A task and the machine that is to run it. */
    public record Placement(TaskId task, String machine) {}

    /** What to claim, and which claims to give up so that more urgent work can start. */
    public record Plan(List<Placement> placements, List<Claim> preempted) {}

    /**
     * What the planner is told besides the ledger: how machines are and whether they take tasks at a steady time, tasks that have ended without a release, claims under
     * way by machine, owners that have left a chunk lying, chunks that others than their first owner may take, and
     * whether claims get into each other's way so much that each chunk is left to its first owner where that has capacity.
     */
    public record Limits(
            Instant steadyNow,
            Function<MachineRecord, Predicate<Instant>> availability,
            Function<MachineRecord, List<String>> images,
            Function<MachineRecord, MachineRecord.Condition> condition,
            Predicate<Job> backsOff,
            Predicate<Placement> avoided,
            Predicate<Claim> ended,
            Function<String, List<JobSpec>> underWay,
            List<String> owners,
            BiPredicate<String, String> passedOver,
            Predicate<String> helped,
            boolean crowded,
            ClaimQuota claims,
            BooleanSupplier outOfTime) {}

    /** How many records of tasks a controller can claim from now; what is planned for it beyond that would be in vain. */
    public record ClaimQuota(String controller, int mostRecords) {}

    /** A capacity that takes tasks of the job at hand, and what the next task costs there. */
    private record PlacementCandidate(double score, FreeCapacity capacity) {}

    private static final Comparator<PlacementCandidate> BEST_FIRST = Comparator.comparingDouble(
                    PlacementCandidate::score)
            .thenComparing(offer -> offer.capacity().machine.name());

    /** Seconds of fetching that it is worth to leave a large machine to those tasks that need one. */
    private static final double LARGER_THAN_NEEDED = 2;
    /** The same while such tasks are waiting. */
    private static final double LARGE_AND_AWAITED = 3;
    /** Part of a run from which on a fetch counts as long. */
    private static final double LONG_FETCH = 0.3;
    /** Likewise to let ordinary machines, which cost more, run empty and be returned. */
    private static final double ORDINARY = 0.3;
    /** Seconds of fetching that a second of running is worth on a machine that can't be taken back. */
    private static final double SPOT_RISK = 0.05;

    /** Seconds of fetching for which a chunk's tasks are left to the owner that comes first for them. */
    private static final double CHANGE_OF_OWNER = 0.8;
    /** The same for a task that finds no capacity there. */
    private static final double NO_ROOM = 30;

    /**
     * How long a job with time to spare leaves idle machines alone: large ones that others need, and those that would have to
     * fetch its image first.
     */
    private static final Duration PATIENCE = Duration.ofSeconds(60);

    /** Machines that a pass of a round looks at. */
    private enum MachineFilter {
        ALL,
        /** Only where the job's image is, or is on its way. */
        WITH_IMAGE
    }

    private final ClusterState clusterState;
    private final PlatformSettings settings;
    private final boolean speedFirst;
    private final UnaryOperator<String> owner;
    private Set<String> awaited = Set.of();
    private final JobOrder order;
    private final Preemption preemption;
    /** What is left on the machines that take tasks, kept from round to round; those named in {@code stale} are worked out anew. */
    private final TreeMap<String, FreeCapacity> capacities = new TreeMap<>();

    private final Set<String> stale = new HashSet<>();
    private boolean allStale = true;
    /** Urgent work is looked at first in each round, however much other work there is to go through. */
    private final ResumePoint urgentResume = new ResumePoint();

    private final ResumePoint resume = new ResumePoint();

    /** A planner over a replica; {@code owner} names the controller that owns a machine. */
    public Planner(
            ClusterState clusterState,
            PlatformSettings settings,
            OperatorSettings operatorSettings,
            UnaryOperator<String> owner) {
        this.clusterState = clusterState;
        this.owner = owner;
        this.settings = settings;
        this.speedFirst = operatorSettings.speedFirst(settings);
        this.order = new JobOrder(clusterState, settings);
        this.preemption = new Preemption(clusterState, order, capacities.values(), stale::add);
    }

    /**
     * Where money decides, ordinary machines are left to run empty. Where speed does, long tasks keep away from spot
     * machines: a run that is lost near its end has to be done again in full.
     */
    private double kindPenalty(JobSpec spec, MachineRecord machine) {
        if (speedFirst) {
            return machine.spot() && spec.checkpointInterval().isZero()
                    ? spec.estimatedDuration().toMillis() / 1e3 * SPOT_RISK
                    : 0;
        }
        return machine.spot() ? 0 : ORDINARY;
    }

    private JobSpec.Priority priority(Job job) {
        return order.priority(job);
    }

    private Instant due(Job job) {
        return order.deadline(job);
    }

    private double largePenalty(MachineType type, double smallest) {
        if (type.cpus() <= smallest) {
            return 0;
        }
        return awaited.contains(type.name()) ? LARGE_AND_AWAITED : LARGER_THAN_NEEDED;
    }

    /** Types that waiting tasks can't do without. */
    private Set<String> awaited(List<Job> waiting) {
        Set<String> out = new HashSet<>();
        for (Job job : waiting) {
            List<MachineType> fit = clusterState.types().values().stream()
                    .filter(type ->
                            (job.spec().types() == null || job.spec().types().contains(type.name()))
                                    && job.spec().fits(type))
                    .toList();
            if (fit.size() == 1) {
                out.add(fit.get(0).name());
            }
        }
        return out;
    }

    /** The machine, its claims or what is known of their ends have changed. */
    public void changed(String machine) {
        stale.add(machine);
    }

    /** All machines have to be looked at anew. */
    public void allChanged() {
        allStale = true;
    }

    private void refresh(Limits limits) {
        if (allStale) {
            allStale = false;
            capacities.clear();
            for (MachineRecord machine : clusterState.machines()) {
                stale.add(machine.name());
            }
        }
        for (String name : stale) {
            FreeCapacity capacity = capacity(name, limits);
            if (capacity == null) {
                capacities.remove(name);
            } else {
                capacities.put(name, capacity);
            }
        }
        stale.clear();
    }

    private FreeCapacity capacity(String name, Limits limits) {
        MachineRecord machine = clusterState.machine(name);
        MachineType type = machine == null ? null : clusterState.types().get(machine.type());
        if (type == null || limits.condition().apply(machine) != MachineRecord.Condition.UP) {
            return null;
        }
        FreeCapacity capacity = new FreeCapacity(
                machine,
                type,
                owner.apply(name),
                limits.images().apply(machine),
                limits.availability().apply(machine));
        for (Claim claim : clusterState.claimsOn(name).values()) {
            Job job = clusterState.job(claim.task().job());
            // A task known to have ended leaves its capacity at once; its release is written with others, a moment
            // later.
            if (job != null && !limits.ended().test(claim)) {
                capacity.allocate(job.spec());
                capacity.claims.add(claim);
            }
        }
        limits.underWay().apply(name).forEach(capacity::allocate);
        return capacity;
    }

    /** Assigns pending tasks in order, until the capacity or the round's time is used up. */
    public Plan plan(Instant now, Limits limits) {
        Plan out = new Plan(new ArrayList<>(), new ArrayList<>());
        refresh(limits);
        if (capacities.isEmpty()) {
            return out;
        }
        JobOrder.Queue queue = order.order(now);
        List<Job> jobs = queue.jobs();
        if (jobs.isEmpty()) {
            return out;
        }
        awaited = awaited(jobs);
        PlanningRound round = new PlanningRound(now, limits, open(limits), out);
        BooleanSupplier urgentDone = limits.outOfTime();
        BooleanSupplier done = () ->
                urgentDone.getAsBoolean() || round.ownRecords >= limits.claims().mostRecords();
        boolean allPlaced = placeAll(jobs.subList(0, queue.urgent()), jobs, urgentResume, round, urgentDone)
                && placeAll(jobs.subList(queue.urgent(), jobs.size()), jobs, resume, round, done);
        if (allPlaced && round.imagesKept) {
            placeOnWhatIsLeft(jobs, round);
        }
        return out;
    }

    /**
     * Places jobs in order, going on where the last round was {@code done}; whether it was not done before all were placed. One
     * job at least is placed.
     */
    private boolean placeAll(
            List<Job> jobs, List<Job> all, ResumePoint resumePoint, PlanningRound round, BooleanSupplier done) {
        int from = resumePoint.indexIn(jobs);
        for (int k = 0; k < jobs.size(); k++) {
            Job job = jobs.get((from + k) % jobs.size());
            if (k > 0 && done.getAsBoolean()) {
                resumePoint.set(job);
                return false;
            }
            if (!round.limits.backsOff().test(job)) {
                placeInTime(job, all, round);
            }
        }
        return true;
    }

    private void placeInTime(Job job, List<Job> all, PlanningRound round) {
        int most = Integer.MAX_VALUE;
        if (isPaced(job)) {
            if (!round.imagesKept) {
                round.imagesKept = true;
                placeWhereImagesAre(all, round);
            }
            most = tasksInTime(job, round.now) - job.claimCount() - round.placed(job);
        }
        place(job, round, MachineFilter.ALL, most);
    }

    /** Machines with free capacity that take new tasks. */
    private List<FreeCapacity> open(Limits limits) {
        List<FreeCapacity> open = new ArrayList<>();
        for (FreeCapacity capacity : capacities.values()) {
            if (capacity.cpus > FreeCapacity.EPSILON && capacity.takesTasks(limits.steadyNow())) {
                capacity.reservedFor = null;
                open.add(capacity);
            }
        }
        return open;
    }

    /** Where the last round ran out of time; the first job if it did not, or that job is over. */
    private static final class ResumePoint {
        private String job;

        void set(Job at) {
            job = at.id();
        }

        int indexIn(List<Job> jobs) {
            int from = 0;
            for (int i = 0; job != null && i < jobs.size(); i++) {
                if (jobs.get(i).id().equals(job)) {
                    from = i;
                }
            }
            job = null;
            return from;
        }
    }

    /** Paced jobs keep the machines that have their images, as far as they need them for their deadlines. */
    private void placeWhereImagesAre(List<Job> jobs, PlanningRound round) {
        for (Job job : jobs) {
            if (isPaced(job) && !round.limits.backsOff().test(job)) {
                place(job, round, MachineFilter.WITH_IMAGE, tasksInTime(job, round.now) - job.claimCount());
            }
        }
    }

    /** What nobody else has taken goes to paced jobs beyond their need; to those that have waited long, wherever it is. */
    private void placeOnWhatIsLeft(List<Job> jobs, PlanningRound round) {
        for (Job job : jobs) {
            boolean takesMore = isPaced(job)
                    && !round.limits.backsOff().test(job)
                    && !round.limits.outOfTime().getAsBoolean();
            if (takesMore) {
                boolean waitedLong = !round.now.isBefore(job.releasedAt().plus(PATIENCE));
                place(job, round, waitedLong ? MachineFilter.ALL : MachineFilter.WITH_IMAGE, Integer.MAX_VALUE);
            }
        }
    }

    private double fetchAlone(JobSpec spec) {
        double rate = clusterState.types().values().stream()
                .filter(spec::fits)
                .mapToDouble(MachineType::imagePullGbPerSecond)
                .max()
                .orElse(1);
        return spec.imageGb() / Math.max(0.01, rate);
    }

    /**
     * A job with a deadline whose image takes long against a run is cheaper on few machines that have it: it gets no more
     * than it needs to be in time.
     */
    private boolean isPaced(Job job) {
        return due(job) != null
                && priority(job).compareTo(JobSpec.Priority.NORMAL) >= 0
                && fetchAlone(job.spec()) >= LONG_FETCH * JobOrder.runSeconds(job);
    }

    /** Tasks that must run side by side for the job to be in time; of one that can't be, a third. */
    private int tasksInTime(Job job, Instant now) {
        double run = JobOrder.runSeconds(job) * 1.15;
        double time = Duration.between(now, due(job)).toMillis() / 1e3
                - fetchAlone(job.spec()) * (job.claimCount() == 0 ? 1 : 0);
        double turns = time < run ? 3 : Math.floor(time / run);
        return (int) Math.ceil((job.spec().taskCount() - job.doneCount()) / turns);
    }

    /** Places tasks of a job, {@code most} at the most. */
    private void place(Job job, PlanningRound round, MachineFilter machines, int most) {
        JobSpec spec = job.spec();
        PlatformSettings.Team team = settings.teams().get(spec.team());
        Resources one = new Resources(spec.cpus(), spec.gpus());
        int quota = Math.min(most, job.pendingCount() - round.placed(job));
        if (team != null && team.limited()) {
            quota = Math.min(quota, fitting(team, round.used.computeIfAbsent(spec.team(), clusterState::usage), one));
        }
        // A job that fails everywhere keeps one task going, so that it does not eat the fleet.
        quota = Math.min(quota, Math.max(0, FailingJobBackoff.maxClaims(job) - job.claimCount() - round.placed(job)));
        if (quota <= 0) {
            return;
        }
        TaskZones zones = round.zonesOf(job, clusterState);
        String onlyZone = spec.together() && zones.isEmpty() ? bestZone(spec, round.open, job.pendingCount()) : null;
        Map<String, List<PlacementCandidate>> offers = offers(job, round, zones, onlyZone, machines);
        Set<TaskId> taken = round.taken.computeIfAbsent(job.id(), k -> new HashSet<>());
        int before = taken.size();
        int unplaced = offers.isEmpty() ? quota : 0;
        for (int i = 0; i < job.taskRangeCount() && quota > 0 && !offers.isEmpty(); i++) {
            TaskRange taskRange = job.taskRange(i);
            if (taskRange.pendingCount() == 0) {
                continue;
            }
            String key = Keys.tasks(job.id(), i);
            List<TaskId> pending = taskRange.pending();
            pending.removeAll(taken);
            if (pending.isEmpty()) {
                continue;
            }
            int placed = 0;
            String chosen = round.ownerOf.get(key);
            if (chosen == null) {
                chosen = owner(key, i, spec, offers, Math.min(quota, pending.size()), round.limits);
            }
            if (chosen != null && offers.containsKey(chosen)) {
                round.ownerOf.put(key, chosen);
                placed = fill(taskRange, pending, quota, spec, offers.get(chosen), zones, round);
                quota -= placed;
                round.ownRecords +=
                        placed > 0 && chosen.equals(round.limits.claims().controller()) ? 1 : 0;
            }
            unplaced += Math.min(quota, pending.size() - placed);
        }
        if (unplaced > 0
                && machines == MachineFilter.ALL
                && !FailingJobBackoff.isSuspect(job)
                && !reserve(spec, priority(job), offers, zones, unplaced)
                && preemption.isPressing(job, round.now)) {
            preemption.preempt(spec, priority(job), unplaced, zones, onlyZone, round);
        }
        if (team != null && team.limited()) {
            round.used.merge(spec.team(), one.times(taken.size() - before), Resources::plus);
        }
    }

    /**
     * Capacity of owners that a chunk is not given to this time waits for its tasks all the same: lower work that took it
     * would only be stopped again. Whether there is any.
     */
    private static boolean reserve(
            JobSpec spec,
            JobSpec.Priority priority,
            Map<String, List<PlacementCandidate>> offers,
            TaskZones zones,
            int tasks) {
        int left = tasks;
        boolean any = false;
        for (List<PlacementCandidate> l : offers.values()) {
            for (PlacementCandidate o : l) {
                if (left > 0
                        && o.capacity().fits(spec)
                        && PlacementRules.zone(spec, o.capacity().machine.zone(), zones)
                                .allowed()) {
                    any = true;
                    left -= o.capacity().slots(spec);
                    o.capacity().reservedFor = priority;
                }
            }
        }
        return any;
    }

    private static int fitting(PlatformSettings.Team team, Resources used, Resources one) {
        double n = Integer.MAX_VALUE;
        if (team.cpusMax() > 0 && one.cpus() > 0) {
            n = Math.min(n, (team.cpusMax() - used.cpus()) / one.cpus() + 1e-6);
        }
        if (team.gpusMax() > 0 && one.gpus() > 0) {
            n = Math.min(n, (team.gpusMax() - used.gpus()) / one.gpus() + 1e-6);
        }
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, Math.floor(n)));
    }

    /** What each owner's machines offer to tasks of a job, the best first. */
    private Map<String, List<PlacementCandidate>> offers(
            Job job, PlanningRound round, TaskZones zones, String onlyZone, MachineFilter machines) {
        JobSpec spec = job.spec();
        double smallest = clusterState.types().values().stream()
                .filter(spec::fits)
                .mapToDouble(MachineType::cpus)
                .min()
                .orElse(0);
        // A large machine that others wait for is not taken while there is time to wait for a small one.
        boolean mayTakeLarge =
                !round.now.isBefore(order.latestStart(job, round.now).minus(Preemption.PRESSING_BEFORE))
                        || !round.now.isBefore(job.releasedAt().plus(PATIENCE));
        Map<String, List<PlacementCandidate>> offers = new TreeMap<>();
        if (round.fitsNowhere(spec)) {
            return offers;
        }
        boolean anyFits = false;
        for (FreeCapacity capacity : round.open) {
            MachineRecord machine = capacity.machine;
            if (!capacity.fits(spec)) {
                continue;
            }
            anyFits = true;
            if (!PlacementRules.task(spec, capacity.type, machine.zone(), machine.spot(), zones)
                            .allowed()
                    || (onlyZone != null && !onlyZone.equals(machine.zone()))
                    || (capacity.reservedFor != null && capacity.reservedFor.compareTo(priority(job)) < 0)
                    || (machines == MachineFilter.WITH_IMAGE && !capacity.hasOrPulls(spec.image()))
                    || (!mayTakeLarge && capacity.type.cpus() > smallest && awaited.contains(capacity.type.name()))) {
                continue;
            }
            double score = capacity.pullSeconds(spec)
                    + (capacity.cpus - spec.cpus()) / capacity.type.cpus()
                    + largePenalty(capacity.type, smallest)
                    + kindPenalty(spec, machine);
            offers.computeIfAbsent(capacity.owner, o -> new ArrayList<>()).add(new PlacementCandidate(score, capacity));
        }
        if (!anyFits) {
            round.noteFitsNowhere(spec);
        }
        boolean single = job.pendingCount() == 1;
        for (List<PlacementCandidate> ofOwner : offers.values()) {
            if (single) {
                // Hundreds of jobs of one task need no order among all machines.
                Collections.swap(ofOwner, 0, ofOwner.indexOf(Collections.min(ofOwner, BEST_FIRST)));
            } else {
                ofOwner.sort(BEST_FIRST);
            }
        }
        return offers;
    }

    /**
     * The owner whose machines take the tasks of a chunk. Each chunk has one to begin with, found by its place in the
     * job; another is chosen only when it offers clearly more, so that controllers whose copies of the store differ by a
     * moment still agree.
     */
    private String owner(
            String key,
            int index,
            JobSpec spec,
            Map<String, List<PlacementCandidate>> offers,
            int tasks,
            Limits limits) {
        List<String> owners = limits.owners();
        String best = null;
        double least = Double.MAX_VALUE;
        int first = (spec.id().hashCode() & 0xffff) + index;
        for (int i = 0; i < owners.size(); i++) {
            String o = owners.get((first + i) % owners.size());
            List<PlacementCandidate> offered = offers.getOrDefault(o, List.of());
            if (offered.isEmpty() || limits.passedOver().test(key, o)) {
                continue;
            }
            if (limits.crowded()) {
                return i == 0 || limits.helped().test(key) ? o : null;
            }
            double cost = cost(spec, offered, tasks) + (i == 0 ? 0 : CHANGE_OF_OWNER * tasks);
            if (cost < least) {
                least = cost;
                best = o;
            }
        }
        return best;
    }

    private static double cost(JobSpec spec, List<PlacementCandidate> offers, int tasks) {
        double cost = 0;
        int left = tasks;
        for (PlacementCandidate o : offers) {
            if (left <= 0) {
                break;
            }
            int n = Math.min(left, o.capacity().slots(spec));
            cost += n * o.score();
            left -= n;
        }
        return cost + left * NO_ROOM;
    }

    private int fill(
            TaskRange taskRange,
            List<TaskId> pending,
            int most,
            JobSpec spec,
            List<PlacementCandidate> offers,
            TaskZones zones,
            PlanningRound round) {
        int placed = 0;
        for (TaskId task : pending) {
            if (placed >= most) {
                break;
            }
            for (PlacementCandidate o : offers) {
                FreeCapacity capacity = o.capacity();
                String zone = capacity.machine.zone();
                if (!capacity.fits(spec)
                        || !PlacementRules.zone(spec, zone, zones).allowed()
                        || capacity.machine.name().equals(taskRange.lateOn(task.index()))
                        || round.limits.avoided().test(new Placement(task, capacity.machine.name()))) {
                    continue;
                }
                capacity.allocate(spec);
                stale.add(capacity.machine.name());
                if (PlacementRules.dependOnOthers(spec)) {
                    zones.add(zone);
                }
                round.out.placements().add(new Placement(task, capacity.machine.name()));
                round.taken.get(spec.id()).add(task);
                placed++;
                break;
            }
            offers.removeIf(o -> !o.capacity().fits(spec));
            if (offers.isEmpty()) {
                break;
            }
        }
        return placed;
    }

    /** The zone in which most tasks of a job that must stay together find capacity. */
    private static String bestZone(JobSpec spec, List<FreeCapacity> open, int pending) {
        Map<String, Integer> fit = new HashMap<>();
        for (FreeCapacity r : open) {
            boolean allowed = PlacementRules.machine(spec, r.type, r.machine.zone(), r.machine.spot())
                    .allowed();
            if (allowed && r.fits(spec)) {
                int n = (int) Math.min(pending, r.cpus / spec.cpus() + 1e-6);
                fit.merge(r.machine.zone(), n, Integer::sum);
            }
        }
        return fit.entrySet().stream()
                .max(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElse("");
    }
}
