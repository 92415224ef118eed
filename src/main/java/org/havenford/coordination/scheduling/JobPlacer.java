package org.havenford.coordination.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.coordination.placement.TaskZones;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.TaskId;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.TeamQuota.Resources;

/** Places tasks of one job within its limits, and reserves or preempts capacity for tasks that find no machine. */
final class JobPlacer {
    private final ClusterState clusterState;
    private final PlatformSettings settings;
    private final JobOrder jobOrder;
    private final CandidateFinder candidateFinder;
    private final TaskRangePlacer taskRangePlacer;
    private final Preemption preemption;

    JobPlacer(
            ClusterState clusterState,
            PlatformSettings settings,
            JobOrder jobOrder,
            CandidateFinder candidateFinder,
            CapacityIndex capacityIndex) {
        this.clusterState = clusterState;
        this.settings = settings;
        this.jobOrder = jobOrder;
        this.candidateFinder = candidateFinder;
        this.taskRangePlacer = new TaskRangePlacer(capacityIndex);
        this.preemption = new Preemption(clusterState, jobOrder, capacityIndex);
    }

    /** Places up to {@code maxTasks} tasks of a job. */
    void place(Job job, PlanningRound round, MachineFilter machineFilter, int maxTasks) {
        JobSpec spec = job.spec();
        int quota = quota(job, round, maxTasks);
        if (quota <= 0) {
            return;
        }
        TaskZones zones = round.zonesOf(job, clusterState);
        String requiredZone =
                spec.together() && zones.isEmpty() ? bestZone(spec, round.schedulable, job.pendingCount()) : null;
        JobPass pass = new JobPass(job, jobOrder.priority(job), round, machineFilter, zones, requiredZone);
        Map<String, List<PlacementCandidate>> candidatesByOwner = candidateFinder.find(pass);
        Set<TaskId> placedTasks = round.placedTasks.computeIfAbsent(job.id(), id -> new HashSet<>());
        int placedBefore = placedTasks.size();
        int unplaced = taskRangePlacer.place(pass, candidatesByOwner, quota);
        if (unplaced > 0 && machineFilter == MachineFilter.ALL && !FailingJobBackoff.isLikelyBroken(job)) {
            reserveOrPreempt(pass, candidatesByOwner, unplaced);
        }
        if (isLimited(spec)) {
            Resources placed = perTask(spec).times(placedTasks.size() - placedBefore);
            round.usedByTeam.merge(spec.team(), placed, Resources::plus);
        }
    }

    /**
     * Returns how many tasks may be placed, given the pending tasks, the team's limit and the limit for failing jobs.
     */
    private int quota(Job job, PlanningRound round, int maxTasks) {
        JobSpec spec = job.spec();
        int quota = Math.min(maxTasks, job.pendingCount() - round.placedCount(job));
        if (isLimited(spec)) {
            Resources used = round.usedByTeam.computeIfAbsent(spec.team(), clusterState::usage);
            quota = Math.min(quota, tasksWithinLimit(settings.teams().get(spec.team()), used, perTask(spec)));
        }
        // Limits the concurrent claims of a job whose tasks keep failing, so that it does not occupy the fleet.
        return Math.min(
                quota, Math.max(0, FailingJobBackoff.maxClaims(job) - job.claimCount() - round.placedCount(job)));
    }

    private boolean isLimited(JobSpec spec) {
        PlatformSettings.Team team = settings.teams().get(spec.team());
        return team != null && team.isLimited();
    }

    private static Resources perTask(JobSpec spec) {
        return new Resources(spec.cpus(), spec.gpus());
    }

    private static int tasksWithinLimit(PlatformSettings.Team team, Resources used, Resources perTask) {
        double tasks = Integer.MAX_VALUE;
        if (team.cpusMax() > 0 && perTask.cpus() > 0) {
            tasks = Math.min(tasks, (team.cpusMax() - used.cpus()) / perTask.cpus() + FreeCapacity.EPSILON);
        }
        if (team.gpusMax() > 0 && perTask.gpus() > 0) {
            tasks = Math.min(tasks, (team.gpusMax() - used.gpus()) / perTask.gpus() + FreeCapacity.EPSILON);
        }
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, Math.floor(tasks)));
    }

    /** Reserves capacity for tasks that found no machine, or else preempts claims for them if the job may do so. */
    private void reserveOrPreempt(JobPass pass, Map<String, List<PlacementCandidate>> candidatesByOwner, int tasks) {
        boolean reserved = reserve(pass, candidatesByOwner, tasks);
        if (!reserved && preemption.mayPreempt(pass.job(), pass.round().now)) {
            preemption.preempt(pass, tasks);
        }
    }

    /**
     * Reserves candidates' remaining capacity for tasks that were not placed, for example because their task range is
     * assigned to another owner in this round. Tasks of lower priority placed there would only be preempted again.
     *
     * @return whether any capacity was reserved
     */
    private static boolean reserve(JobPass pass, Map<String, List<PlacementCandidate>> candidatesByOwner, int tasks) {
        JobSpec spec = pass.spec();
        int left = tasks;
        boolean any = false;
        for (List<PlacementCandidate> candidates : candidatesByOwner.values()) {
            for (PlacementCandidate candidate : candidates) {
                FreeCapacity capacity = candidate.capacity();
                boolean usable = left > 0
                        && capacity.fits(spec)
                        && PlacementRules.checkZone(spec, capacity.machine.zone(), pass.zones())
                                .allowed();
                if (usable) {
                    any = true;
                    left -= capacity.slots(spec);
                    capacity.reservedFor = pass.priority();
                }
            }
        }
        return any;
    }

    /**
     * Returns the zone with capacity for the most tasks of a job that must stay in one zone. The result is an empty
     * string, which matches no zone, if no zone has capacity.
     */
    private static String bestZone(JobSpec spec, List<FreeCapacity> schedulable, int pending) {
        Map<String, Integer> slotsByZone = new HashMap<>();
        for (FreeCapacity capacity : schedulable) {
            String zone = capacity.machine.zone();
            boolean allowed = PlacementRules.checkMachine(spec, capacity.type, zone, capacity.machine.spot())
                    .allowed();
            if (allowed && capacity.fits(spec)) {
                int slots = (int) Math.min(pending, capacity.cpus / spec.cpus() + FreeCapacity.EPSILON);
                slotsByZone.merge(zone, slots, Integer::sum);
            }
        }
        return slotsByZone.entrySet().stream()
                .max(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElse("");
    }
}
