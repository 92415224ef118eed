package org.havenford.coordination.scheduling;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;

/**
 * Assigns pending tasks to machines, based on a snapshot. Every controller plans for the whole fleet, but claims tasks
 * only on the machines that it owns. All controllers replicate the same store, so their plans mostly agree; where they
 * differ, the conditional transactions of the claims detect the conflict. The tasks of one task range are placed on
 * machines of one owner at a time, because owners that write the same key conflict with each other.
 */
final class Planner {
    private final ClusterState clusterState;
    private final JobOrder jobOrder;
    private final CapacityIndex capacityIndex;
    private final JobPacing jobPacing;
    private final JobPlacer jobPlacer;

    /** Resume point of urgent jobs, which are placed first in each round, however many other jobs there are. */
    private final ResumePoint urgentResumePoint = new ResumePoint();

    private final ResumePoint resumePoint = new ResumePoint();

    /** Creates a planner over a replica; {@code ownerOf} returns the name of the controller that owns a machine. */
    Planner(
            ClusterState clusterState,
            PlatformSettings settings,
            OperatorSettings operatorSettings,
            UnaryOperator<String> ownerOf) {
        this.clusterState = clusterState;
        jobOrder = new JobOrder(clusterState, settings);
        capacityIndex = new CapacityIndex(clusterState, ownerOf);
        jobPacing = new JobPacing(clusterState, jobOrder);
        PlacementScorer scorer = new PlacementScorer(operatorSettings.speedFirst(settings));
        CandidateFinder candidateFinder = new CandidateFinder(clusterState, jobOrder, scorer);
        jobPlacer = new JobPlacer(clusterState, settings, jobOrder, candidateFinder, capacityIndex);
    }

    /** Marks the free capacity of a machine as stale after a change of its record, its claims or their outcomes. */
    void invalidateMachine(String machine) {
        capacityIndex.invalidate(machine);
    }

    /** Marks the free capacity of all machines as stale. */
    void invalidateAllMachines() {
        capacityIndex.invalidateAll();
    }

    /**
     * Assigns pending tasks in job order, until all jobs were considered, or the round's time budget or this
     * controller's claim limit is used up.
     *
     * @param now the time of day, not of the monotonic clock
     */
    Plan plan(Instant now, PlanningSnapshot snapshot, MachineAvailability availability) {
        capacityIndex.refresh(availability);
        if (capacityIndex.all().isEmpty()) {
            return Plan.empty();
        }
        JobOrder.OrderedJobs ordered = jobOrder.order(now);
        List<Job> jobs = ordered.jobs();
        if (jobs.isEmpty()) {
            return Plan.empty();
        }
        PlanningRound round =
                new PlanningRound(now, snapshot, capacityIndex.schedulable(snapshot), contendedTypes(jobs));
        List<Job> urgent = jobs.subList(0, ordered.urgentCount());
        List<Job> others = jobs.subList(ordered.urgentCount(), jobs.size());
        boolean allPlaced = placeInOrder(urgent, jobs, urgentResumePoint, round, round::outOfTime)
                && placeInOrder(others, jobs, resumePoint, round, round::outOfTimeOrQuota);
        if (allPlaced && round.cachedImagePassDone) {
            placeOnRemainingMachines(jobs, round);
        }
        return round.plan;
    }

    /** Returns the names of the machine types that are the only usable type of a job with pending tasks. */
    private Set<String> contendedTypes(List<Job> jobs) {
        Set<String> contended = new HashSet<>();
        for (Job job : jobs) {
            JobSpec spec = job.spec();
            List<MachineType> usable = clusterState.types().values().stream()
                    .filter(type -> (spec.types() == null || spec.types().contains(type.name())) && spec.fits(type))
                    .toList();
            if (usable.size() == 1) {
                contended.add(usable.get(0).name());
            }
        }
        return contended;
    }

    /**
     * Places jobs in order, starting at the job where the last round stopped early. At least one job is considered,
     * however soon {@code stop} returns true.
     *
     * @return whether all jobs were considered
     */
    private boolean placeInOrder(
            List<Job> jobs, List<Job> all, ResumePoint resumeAt, PlanningRound round, BooleanSupplier stop) {
        int from = resumeAt.indexIn(jobs);
        for (int i = 0; i < jobs.size(); i++) {
            Job job = jobs.get((from + i) % jobs.size());
            if (i > 0 && stop.getAsBoolean()) {
                resumeAt.set(job);
                return false;
            }
            if (!round.snapshot.isBackingOff(job)) {
                placeJob(job, all, round);
            }
        }
        return true;
    }

    private void placeJob(Job job, List<Job> all, PlanningRound round) {
        int maxTasks = Integer.MAX_VALUE;
        if (jobPacing.isPaced(job)) {
            if (!round.cachedImagePassDone) {
                round.cachedImagePassDone = true;
                placeOnMachinesWithImages(all, round);
            }
            maxTasks = jobPacing.tasksNeeded(job, round.now) - job.claimCount() - round.placedCount(job);
        }
        jobPlacer.place(job, round, MachineFilter.ALL, maxTasks);
    }

    /** Places paced jobs on machines that have their images, with no more tasks than their deadlines require. */
    private void placeOnMachinesWithImages(List<Job> jobs, PlanningRound round) {
        for (Job job : jobs) {
            if (jobPacing.isPaced(job) && !round.snapshot.isBackingOff(job)) {
                int maxTasks = jobPacing.tasksNeeded(job, round.now) - job.claimCount();
                jobPlacer.place(job, round, MachineFilter.WITH_IMAGE, maxTasks);
            }
        }
    }

    /**
     * Gives capacity that is left to paced jobs beyond their need. Only jobs that have waited long may use machines
     * that lack their image.
     */
    private void placeOnRemainingMachines(List<Job> jobs, PlanningRound round) {
        for (Job job : jobs) {
            boolean takesMore = jobPacing.isPaced(job) && !round.snapshot.isBackingOff(job) && !round.outOfTime();
            if (takesMore) {
                boolean waitedLong = JobPacing.hasWaitedLong(job, round.now);
                MachineFilter machineFilter = waitedLong ? MachineFilter.ALL : MachineFilter.WITH_IMAGE;
                jobPlacer.place(job, round, machineFilter, Integer.MAX_VALUE);
            }
        }
    }
}
