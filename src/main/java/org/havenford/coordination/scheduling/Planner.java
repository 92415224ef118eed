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
 * Decides what should run where, from a snapshot. Every controller plans for the whole fleet and claims only on the
 * machines it owns; since all see the same store, their plans mostly agree, and a guarded claim settles the rest. The
 * tasks of one task range go to machines of one owner at a time, as owners that write one key only get in each other's way.
 */
final class Planner {
    private final ClusterState clusterState;
    private final JobOrder jobOrder;
    private final CapacityIndex capacityIndex;
    private final JobPacing jobPacing;
    private final JobPlacer jobPlacer;

    /** Urgent work is looked at first in each round, however much other work there is to go through. */
    private final ResumePoint urgentResumePoint = new ResumePoint();

    private final ResumePoint resumePoint = new ResumePoint();

    /** A planner over a replica; {@code ownerOf} names the controller that owns a machine. */
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

    /** The machine, its claims or what is known of their outcomes have changed. */
    void machineChanged(String machine) {
        capacityIndex.invalidate(machine);
    }

    /** All machines have to be looked at again. */
    void allChanged() {
        capacityIndex.invalidateAll();
    }

    /**
     * Assigns pending tasks in order, until the capacity or the round's time is used up.
     *
     * @param now time of day
     */
    Plan plan(Instant now, PlanningSnapshot snapshot, MachineAvailability availability) {
        capacityIndex.refresh(availability);
        if (capacityIndex.all().isEmpty()) {
            return Plan.empty();
        }
        JobOrder.Queue queue = jobOrder.order(now);
        List<Job> jobs = queue.jobs();
        if (jobs.isEmpty()) {
            return Plan.empty();
        }
        PlanningRound round = new PlanningRound(now, snapshot, capacityIndex.open(snapshot), contendedTypes(jobs));
        List<Job> urgent = jobs.subList(0, queue.urgent());
        List<Job> others = jobs.subList(queue.urgent(), jobs.size());
        boolean allPlaced = placeInOrder(urgent, jobs, urgentResumePoint, round, round::outOfTime)
                && placeInOrder(others, jobs, resumePoint, round, round::outOfTimeOrQuota);
        if (allPlaced && round.cachedImagesPlaced) {
            placeOnRemainingMachines(jobs, round);
        }
        return round.plan;
    }

    /** Names of machine types that waiting tasks can't do without. */
    private Set<String> contendedTypes(List<Job> waiting) {
        Set<String> contended = new HashSet<>();
        for (Job job : waiting) {
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
     * Places jobs in order, going on where the last round had to {@code stop}; whether it did not have to before all were
     * placed. One job at least is placed.
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
                placeInTime(job, all, round);
            }
        }
        return true;
    }

    private void placeInTime(Job job, List<Job> all, PlanningRound round) {
        int most = Integer.MAX_VALUE;
        if (jobPacing.isPaced(job)) {
            if (!round.cachedImagesPlaced) {
                round.cachedImagesPlaced = true;
                placeWhereImagesAre(all, round);
            }
            most = jobPacing.tasksNeeded(job, round.now) - job.claimCount() - round.placed(job);
        }
        jobPlacer.place(job, round, MachineFilter.ALL, most);
    }

    /** Paced jobs keep the machines that have their images, as far as they need them for their deadlines. */
    private void placeWhereImagesAre(List<Job> jobs, PlanningRound round) {
        for (Job job : jobs) {
            if (jobPacing.isPaced(job) && !round.snapshot.isBackingOff(job)) {
                int most = jobPacing.tasksNeeded(job, round.now) - job.claimCount();
                jobPlacer.place(job, round, MachineFilter.WITH_IMAGE, most);
            }
        }
    }

    /** What nobody else has taken goes to paced jobs beyond their need; to those that have waited long, wherever it is. */
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
