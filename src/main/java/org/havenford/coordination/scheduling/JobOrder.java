package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.havenford.protocol.JobSpec;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.TeamQuota.Resources;

/**
 * Orders the jobs for placement: starving jobs first, then jobs within their team's guarantee, then by priority, then
 * by the latest start that still meets the job's deadline and the service-level objective of its class. Jobs that seem
 * to fail on every machine come last. Jobs that wait for dependencies are left out.
 */
final class JobOrder {
    /**
     * How long after its latest start a job is still assumed to meet its deadline, since run times are rough estimates.
     */
    private static final Duration LATENESS_TOLERANCE = Duration.ofSeconds(2);
    /**
     * A job that can't meet even its extended deadline is ordered as if it had to start this long after its submission:
     * after jobs that can still meet their deadlines, but without starving.
     */
    private static final Duration MAX_DELAY_IF_LATE = Duration.ofMinutes(5);
    /** A job that has waited this long since its release without any task started is starving and goes first. */
    private static final Duration STARVATION_DELAY = Duration.ofSeconds(90);
    /** Maximum number of starving jobs that go first at a time. */
    private static final int MAX_STARVING_JOBS = 8;
    /** Time after its release within which a job with neither a deadline nor an objective should start. */
    private static final Duration DEFAULT_MAX_WAIT = Duration.ofMinutes(2);
    /** Lower bound of the estimated run time, in seconds. */
    private static final double MIN_RUN_SECONDS = 0.5;

    private static final double MILLIS_PER_SECOND = 1e3;

    /** A job with its sort keys, which are computed once per job, as there may be a thousand jobs. */
    private record Ranked(
            Job job,
            boolean deprioritized,
            boolean starving,
            boolean guaranteed,
            JobSpec.Priority priority,
            Instant latestStart) {
        boolean isUrgent() {
            boolean aboveNormal = priority.compareTo(JobSpec.Priority.NORMAL) < 0;
            return !deprioritized && (starving || guaranteed || aboveNormal);
        }
    }

    private static final Comparator<Ranked> PLACEMENT_ORDER = Comparator.comparing(Ranked::deprioritized)
            .thenComparing(ranked -> !ranked.starving())
            .thenComparing(ranked -> !ranked.guaranteed())
            .thenComparing(Ranked::priority)
            .thenComparing(Ranked::latestStart)
            .thenComparing(ranked -> ranked.job().id());

    /**
     * The jobs with pending tasks, in the order in which they are placed.
     *
     * @param jobs all jobs, urgent ones first
     * @param urgentCount number of urgent jobs, which must not wait behind the others
     */
    record OrderedJobs(List<Job> jobs, int urgentCount) {}

    private final ClusterState clusterState;
    private final PlatformSettings settings;
    private final PriorityInheritance priorityInheritance;

    JobOrder(ClusterState clusterState, PlatformSettings settings) {
        this.clusterState = clusterState;
        this.settings = settings;
        this.priorityInheritance = new PriorityInheritance(clusterState);
    }

    /** Returns the priority of a job: its own, or a higher one of a job that depends on it. */
    JobSpec.Priority priority(Job job) {
        return priorityInheritance.priority(job);
    }

    /** Returns the time by which a job must be done for its own and its dependents' deadlines, or null. */
    Instant deadline(Job job) {
        return priorityInheritance.deadline(job);
    }

    /** Returns a task's run time in seconds: the median of finished runs, or the user's estimate if there is none. */
    static double runSeconds(Job job) {
        return Math.max(MIN_RUN_SECONDS, runTime(job).toMillis() / MILLIS_PER_SECOND);
    }

    private static Duration runTime(Job job) {
        Duration median = job.medianRun();
        return median == null ? job.spec().estimatedDuration() : median;
    }

    /** Returns the jobs with pending tasks, in the order in which they are to be placed. */
    OrderedJobs order(Instant now) {
        priorityInheritance.refresh();
        List<Job> runnable = new ArrayList<>();
        for (Job job : clusterState.jobs()) {
            if (!job.cancelled() && !job.awaitsDependencies()) {
                runnable.add(job);
            }
        }
        Set<String> guaranteed = guaranteed(runnable);
        runnable.removeIf(job -> job.pendingCount() == 0);
        Set<String> starving = starving(runnable, now);
        List<Ranked> ranked = new ArrayList<>();
        runnable.forEach(job -> ranked.add(rank(job, guaranteed, starving, now)));
        ranked.sort(PLACEMENT_ORDER);
        int urgentCount = 0;
        while (urgentCount < ranked.size() && ranked.get(urgentCount).isUrgent()) {
            urgentCount++;
        }
        return new OrderedJobs(ranked.stream().map(Ranked::job).toList(), urgentCount);
    }

    /**
     * Returns the ids of starving jobs, which go first. Their number is limited to those that have waited longest,
     * since hundreds of small starving jobs would otherwise delay urgent jobs until all of them have started.
     */
    private static Set<String> starving(List<Job> runnable, Instant now) {
        List<Job> waited = new ArrayList<>();
        for (Job job : runnable) {
            if (isStarving(job, now)) {
                waited.add(job);
            }
        }
        waited.sort(Comparator.comparing(Job::releasedAt).thenComparing(Job::id));
        Set<String> starving = new HashSet<>();
        waited.stream().limit(MAX_STARVING_JOBS).forEach(job -> starving.add(job.id()));
        return starving;
    }

    private Ranked rank(Job job, Set<String> guaranteed, Set<String> starving, Instant now) {
        return new Ranked(
                job,
                FailingJobBackoff.isDeprioritized(job, now),
                starving.contains(job.id()),
                guaranteed.contains(job.id()),
                priority(job),
                latestStart(job, now));
    }

    /** Returns the ids of jobs that fit into their team's guarantee along with the team's earlier unfinished jobs. */
    private Set<String> guaranteed(List<Job> runnable) {
        if (settings.teams().values().stream().noneMatch(team -> team.cpus() > 0)) {
            return Set.of();
        }
        List<Job> bySubmission = new ArrayList<>(runnable);
        bySubmission.sort(Comparator.comparing(Job::submittedAt).thenComparing(Job::id));
        Map<String, Resources> used = new HashMap<>();
        Set<String> guaranteed = new HashSet<>();
        for (Job job : bySubmission) {
            int left = job.spec().taskCount() - job.doneCount();
            Resources needed = new Resources(job.spec().cpus(), job.spec().gpus()).times(left);
            Resources sum = used.merge(job.spec().team(), needed, Resources::plus);
            PlatformSettings.Team team = settings.teams().get(job.spec().team());
            if (team != null && team.cpus() > 0 && sum.fitsWithin(new Resources(team.cpus(), team.gpus()))) {
                guaranteed.add(job.id());
            }
        }
        return guaranteed;
    }

    private static boolean isStarving(Job job, Instant now) {
        return job.claimCount() == 0
                && job.doneCount() == 0
                && now.isAfter(job.releasedAt().plus(STARVATION_DELAY));
    }

    /** Returns when a task must start to meet the job's deadline and the service-level objective of its class. */
    Instant latestStart(Job job, Instant now) {
        Instant deadline = deadline(job);
        Instant latest = deadline == null ? null : latestStart(job, deadline, now);
        for (PlatformSettings.ServiceObjective objective : settings.objectives()) {
            boolean applies = objective.kind().equals("wait")
                    && objective.jobClass().equals(job.spec().jobClass());
            if (applies && objective.within() != null) {
                Instant at = job.releasedAt().plus(objective.within());
                latest = latest == null || at.isBefore(latest) ? at : latest;
            }
        }
        return latest == null ? job.releasedAt().plus(DEFAULT_MAX_WAIT) : latest;
    }

    private static Instant latestStart(Job job, Instant deadline, Instant now) {
        Instant latest = deadline.minus(runTime(job));
        if (!now.isAfter(latest.plus(LATENESS_TOLERANCE))) {
            return latest;
        }
        // The deadline can't be met any more. Extending it by half of the allowed time orders the job after jobs that
        // can still meet theirs, without starving it.
        Duration allowed = Duration.between(job.submittedAt(), deadline);
        Instant extendedLatest = deadline.plus(allowed.dividedBy(2)).minus(runTime(job));
        return now.isAfter(extendedLatest) ? job.submittedAt().plus(MAX_DELAY_IF_LATE) : extendedLatest;
    }
}
