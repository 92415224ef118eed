package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.havenford.coordination.placement.ImagePullTime;
import org.havenford.coordination.provisioning.TaskDemand.Startability;
import org.havenford.coordination.scheduling.FailingJobBackoff;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;

/** Estimates how many tasks of each unfinished job should be able to run at the same time. */
public final class TaskDemandEstimator {
    /** How many of a job's unfinished tasks are counted. */
    public enum DemandScope {
        /** All unfinished tasks, as if they were to run at the same time. */
        ALL_AT_ONCE,
        /**
         * No more tasks than the job needs to be in time. A job with a deadline can run tasks one after the other as
         * long as the time suffices. A job without one needs no new machine for a task if earlier tasks free capacity
         * for it before such a machine has booted.
         */
        AS_NEEDED
    }

    /** A job with pending tasks and no claims is considered unplaceable this long after its release. */
    private static final Duration UNPLACEABLE_AFTER = Duration.ofSeconds(30);
    /** Maximum number of likely broken jobs counted per set of fitting types; such a job may fail on every machine. */
    private static final int MAX_BROKEN_JOBS_PER_TYPE_SET = 2;
    /** Share of a job class's permitted start delay that is used to run tasks one after the other. */
    private static final double USED_DELAY_SHARE = 0.5;
    /** Share of the time to a deadline in which tasks are planned to run. */
    private static final double USED_DEADLINE_SHARE = 0.8;
    /** Boot time in seconds assumed for a job that fits no known machine type. */
    private static final double DEFAULT_BOOT_SECONDS = 60;

    private static final double MIN_RUN_SECONDS = 1;

    private final ClusterState clusterState;
    private final PlatformSettings settings;
    private final Instant timeOfDay;
    private final DemandScope scope;
    private final Map<String, Double> usedCpusByTeam = new HashMap<>();
    private final Map<String, Integer> brokenJobCountByTypes = new HashMap<>();

    private TaskDemandEstimator(
            ClusterState clusterState, PlatformSettings settings, Instant timeOfDay, DemandScope scope) {
        this.clusterState = clusterState;
        this.settings = settings;
        this.timeOfDay = timeOfDay;
        this.scope = scope;
    }

    /** Returns the demand of each job that may run now, in the order of {@link ClusterState#jobs}. */
    public static List<TaskDemand> estimate(
            ClusterState clusterState, PlatformSettings settings, Instant timeOfDay, DemandScope scope) {
        TaskDemandEstimator estimator = new TaskDemandEstimator(clusterState, settings, timeOfDay, scope);
        List<TaskDemand> demands = new ArrayList<>();
        for (Job job : clusterState.jobs()) {
            if (!job.cancelled() && !job.awaitsDependencies()) {
                demands.add(estimator.demandOf(job));
            }
        }
        return demands;
    }

    private TaskDemand demandOf(Job job) {
        JobSpec spec = job.spec();
        double unfinishedTasks = spec.taskCount() - job.doneCount();
        double tasks = scope == DemandScope.AS_NEEDED
                ? Math.max(concurrentTasksNeeded(job, unfinishedTasks), job.claimCount())
                : unfinishedTasks;
        if (FailingJobBackoff.isLikelyBroken(job)) {
            tasks = limitLikelyBroken(spec, tasks);
        }
        tasks = limitToQuota(spec, tasks);
        return new TaskDemand(spec, tasks, startability(job, tasks));
    }

    /** Returns the number of tasks that must run concurrently for the job to be in time. */
    private double concurrentTasksNeeded(Job job, double unfinishedTasks) {
        JobSpec spec = job.spec();
        double runSeconds = runSeconds(job);
        double secondsLeft = secondsToDeadline(job);
        if (secondsLeft >= runSeconds) {
            return unfinishedTasks / Math.max(1, Math.floor(secondsLeft * USED_DEADLINE_SHARE / runSeconds));
        }
        // Discounts tasks that can use the capacity freed while a machine boots, or within the permitted start delay.
        double delaySeconds = permittedDelaySeconds(spec);
        return unfinishedTasks
                * runSeconds
                / (runSeconds + shortestBootSeconds(spec))
                / (1 + USED_DELAY_SHARE * Math.min(1, delaySeconds / runSeconds));
    }

    private static double runSeconds(Job job) {
        Duration median = job.medianRun();
        Duration expected = median == null ? job.spec().estimatedDuration() : median;
        return Math.max(MIN_RUN_SECONDS, seconds(expected));
    }

    /** Returns the seconds to the job's deadline minus the fastest image pull; 0 if the job has no deadline. */
    private double secondsToDeadline(Job job) {
        if (job.deadline() == null) {
            return 0;
        }
        return seconds(Duration.between(timeOfDay, job.deadline()))
                - ImagePullTime.fastestSeconds(job.spec(), clusterState.types().values());
    }

    /**
     * Returns the start delay in seconds that the objectives of the job's class permit; 0 if there is no such
     * objective.
     */
    private double permittedDelaySeconds(JobSpec spec) {
        return settings.objectives().stream()
                .filter(objective -> objective.kind().equals("wait")
                        && objective.jobClass().equals(spec.jobClass())
                        && objective.within() != null)
                .mapToDouble(objective -> seconds(objective.within()))
                .min()
                .orElse(0);
    }

    private double shortestBootSeconds(JobSpec spec) {
        return clusterState.types().values().stream()
                .filter(spec::fits)
                .mapToDouble(type -> seconds(type.bootTime()))
                .min()
                .orElse(DEFAULT_BOOT_SECONDS);
    }

    /** Limits a likely broken job to one task, or to none if enough such jobs with the same fitting types are counted. */
    private double limitLikelyBroken(JobSpec spec, double tasks) {
        int brokenJobs = brokenJobCountByTypes.merge(fittingTypes(spec), 1, Integer::sum);
        return brokenJobs <= MAX_BROKEN_JOBS_PER_TYPE_SET ? Math.min(tasks, 1) : 0;
    }

    private String fittingTypes(JobSpec spec) {
        List<String> types = new ArrayList<>();
        for (MachineType type : clusterState.types().values()) {
            if (spec.fits(type) && (spec.types() == null || spec.types().contains(type.name()))) {
                types.add(type.name());
            }
        }
        return String.join(",", types);
    }

    /** Limits the tasks of a job to what its team's CPU limit leaves after the team's earlier jobs. */
    private double limitToQuota(JobSpec spec, double tasks) {
        PlatformSettings.Team team = settings.teams().get(spec.team());
        if (team == null || team.cpusMax() <= 0) {
            return tasks;
        }
        double usedCpus = usedCpusByTeam.getOrDefault(spec.team(), 0.0);
        double limited = Math.min(tasks, Math.max(0, (team.cpusMax() - usedCpus) / spec.cpus()));
        usedCpusByTeam.put(spec.team(), usedCpus + limited * spec.cpus());
        return limited;
    }

    private Startability startability(Job job, double tasks) {
        boolean unplaceable = job.pendingCount() > 0
                && job.claimCount() == 0
                && tasks > 0
                && timeOfDay.isAfter(job.releasedAt().plus(UNPLACEABLE_AFTER));
        if (!unplaceable) {
            return Startability.STARTABLE;
        }
        return job.failuresSinceSuccess() > 0 ? Startability.UNPLACEABLE_AFTER_FAILURES : Startability.UNPLACEABLE;
    }

    private static double seconds(Duration duration) {
        return duration.toMillis() / 1e3;
    }
}
