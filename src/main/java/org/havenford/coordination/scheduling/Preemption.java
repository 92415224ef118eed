package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.coordination.placement.TaskZones;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.MachineRecord;

/** Chooses claims to preempt so that more urgent tasks can start. */
final class Preemption {
    /** How long before its latest start a job may begin to preempt others. */
    static final Duration PREEMPTION_LEAD_TIME = Duration.ofSeconds(7);
    /** How long after its latest start a job may preempt others; after that it is too late. */
    private static final Duration MAX_PREEMPTION_LATENESS = Duration.ofSeconds(20);
    /** A claim older than this is not preempted, unless it is of a low-priority job with checkpoints. */
    private static final Duration MAX_LOST_RUN_TIME = Duration.ofSeconds(20);
    /** Estimated time until a preempted task starts again. */
    private static final Duration RESTART_DELAY = Duration.ofSeconds(25);

    private static final int MILLIS_PER_SECOND = 1000;

    private static final Comparator<Claim> YOUNGEST_FIRST =
            Comparator.comparing(Claim::claimedAt).reversed().thenComparing(Claim::task);

    /**
     * Claims on one machine whose preemption frees enough capacity for a task.
     *
     * @param loss CPU-milliseconds since the claims were made, as an upper bound of the work that is lost
     */
    private record Victims(FreeCapacity capacity, List<Claim> claims, long loss) {}

    private static final Comparator<Victims> LEAST_LOSS_FIRST = Comparator.comparingLong(Victims::loss)
            .thenComparing(victims -> victims.capacity().machine.name());

    private final ClusterState clusterState;
    private final JobOrder jobOrder;
    private final CapacityIndex capacityIndex;

    Preemption(ClusterState clusterState, JobOrder jobOrder, CapacityIndex capacityIndex) {
        this.clusterState = clusterState;
        this.jobOrder = jobOrder;
        this.capacityIndex = capacityIndex;
    }

    /**
     * Whether claims may be preempted for a job: its priority is above normal, it is not failing repeatedly, and it is
     * close to its latest start, before or after it.
     */
    boolean mayPreempt(Job job, Instant now) {
        if (jobOrder.priority(job).compareTo(JobSpec.Priority.NORMAL) >= 0 || FailingJobBackoff.isLikelyBroken(job)) {
            return false;
        }
        Instant latest = jobOrder.latestStart(job, now);
        return now.isAfter(latest.minus(PREEMPTION_LEAD_TIME)) && now.isBefore(latest.plus(MAX_PREEMPTION_LATENESS));
    }

    /**
     * Chooses claims of lower priority to preempt, so that {@code tasks} more tasks of a pass can start. Machines where
     * the least work is lost come first, and only claims of jobs that can still meet their deadlines afterwards are
     * chosen. All controllers use the same order, and rounds choose the same claims again until their preemption is
     * confirmed, so that controllers and rounds do not preempt additional claims for the same tasks.
     */
    void preempt(JobPass pass, int tasks) {
        List<Victims> found = findVictims(pass);
        int allocated = 0;
        TaskZones zonesWithAllocated = pass.zones().copy();
        for (Victims victims : found) {
            if (allocated >= tasks) {
                return;
            }
            String zone = victims.capacity().machine.zone();
            if (!PlacementRules.checkZone(pass.spec(), zone, zonesWithAllocated).allowed()) {
                continue;
            }
            release(victims, pass.round());
            allocated += allocate(victims.capacity(), pass.spec(), tasks - allocated, zonesWithAllocated);
        }
    }

    private List<Victims> findVictims(JobPass pass) {
        JobSpec spec = pass.spec();
        PlanningRound round = pass.round();
        List<Victims> found = new ArrayList<>();
        for (PreemptibleMachine preemptible : round.preemptibleByPriority.computeIfAbsent(
                pass.priority(), priority -> preemptible(priority, round))) {
            FreeCapacity capacity = preemptible.capacity();
            MachineRecord machine = capacity.machine;
            boolean allowed = PlacementRules.checkTask(
                            spec, capacity.type, machine.zone(), machine.spot(), pass.zones())
                    .allowed();
            Victims victims = allowed && pass.mayUseZone(machine.zone()) ? victims(preemptible, spec, round.now) : null;
            if (victims != null) {
                found.add(victims);
            }
        }
        found.sort(LEAST_LOSS_FIRST);
        return found;
    }

    private void release(Victims victims, PlanningRound round) {
        FreeCapacity capacity = victims.capacity();
        for (Claim claim : victims.claims()) {
            capacity.release(clusterState.job(claim.task().job()).spec());
            capacity.claims.remove(claim);
            round.plan.preempted().add(claim);
        }
        capacityIndex.invalidate(capacity.machine.name());
    }

    /** Allocates capacity on a machine for up to {@code maxTasks} tasks, and returns for how many. */
    private static int allocate(FreeCapacity capacity, JobSpec spec, int maxTasks, TaskZones zones) {
        String zone = capacity.machine.zone();
        int allocated = 0;
        while (allocated < maxTasks
                && capacity.fits(spec)
                && PlacementRules.checkZone(spec, zone, zones).allowed()) {
            capacity.allocate(spec);
            zones.add(zone);
            allocated++;
        }
        return allocated;
    }

    /**
     * Finds preemptible claims; called once per round and priority, as there may be dozens of jobs and thousands of
     * claims.
     */
    private List<PreemptibleMachine> preemptible(JobSpec.Priority byPriority, PlanningRound round) {
        List<PreemptibleMachine> machines = new ArrayList<>();
        for (FreeCapacity capacity : capacityIndex.all()) {
            List<Claim> claims = null;
            for (Claim claim : capacity.claims) {
                if (isPreemptible(claim, byPriority, round.now)) {
                    claims = claims == null ? new ArrayList<>(4) : claims;
                    claims.add(claim);
                }
            }
            if (claims != null && capacity.acceptsTasks(round.snapshot.monotonicNow())) {
                claims.sort(YOUNGEST_FIRST);
                machines.add(new PreemptibleMachine(capacity, claims));
            }
        }
        return machines;
    }

    private Victims victims(PreemptibleMachine machine, JobSpec spec, Instant now) {
        List<Claim> victims = new ArrayList<>(4);
        FreeCapacity capacity = machine.capacity();
        double cpus = capacity.cpus;
        double gpus = capacity.gpus;
        double memGb = capacity.memGb;
        long loss = 0;
        for (Claim claim : machine.claims()) {
            if (fits(spec, cpus, gpus, memGb)) {
                break;
            }
            if (!capacity.claims.contains(claim)) {
                // Already chosen for preemption by an earlier pass of this round.
                continue;
            }
            JobSpec victim = clusterState.job(claim.task().job()).spec();
            cpus += victim.cpus();
            gpus += victim.gpus();
            memGb += victim.memGb();
            loss += (long)
                    (victim.cpus() * Duration.between(claim.claimedAt(), now).toMillis());
            victims.add(claim);
        }
        return fits(spec, cpus, gpus, memGb) && !victims.isEmpty() ? new Victims(capacity, victims, loss) : null;
    }

    private static boolean fits(JobSpec spec, double cpus, double gpus, double memGb) {
        return spec.cpus() <= cpus + FreeCapacity.EPSILON
                && spec.gpus() <= gpus + FreeCapacity.EPSILON
                && spec.memGb() <= memGb + FreeCapacity.EPSILON;
    }

    /** Whether a job has low priority and checkpoints; such a task loses little work, however long it has run. */
    private boolean isCheckpointedLowPriority(Job job) {
        return jobOrder.priority(job) == JobSpec.Priority.LOW
                && !job.spec().checkpointInterval().isZero();
    }

    private boolean isPreemptible(Claim claim, JobSpec.Priority byPriority, Instant now) {
        Job job = clusterState.job(claim.task().job());
        if (job == null || job.cancelled() || jobOrder.priority(job).compareTo(byPriority) <= 0) {
            return false;
        }
        boolean losesMuch = claim.claimedAt().plus(MAX_LOST_RUN_TIME).isBefore(now);
        if (losesMuch && !isCheckpointedLowPriority(job)) {
            return false;
        }
        Instant deadline = jobOrder.deadline(job);
        if (deadline == null) {
            return true;
        }
        long runMillis = (long) (JobOrder.runSeconds(job) * MILLIS_PER_SECOND);
        return now.plus(RESTART_DELAY).plusMillis(runMillis).isBefore(deadline);
    }
}
