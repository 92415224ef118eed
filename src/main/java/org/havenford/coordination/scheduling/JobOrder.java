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
 * The order in which jobs are served: what has waited too long without a start, then work within its team's guarantee, then
 * by priority, then by the latest start that still meets the objective of the class; last those that seem to fail on every
 * machine.
 * Jobs that wait for others are no part of it.
 */
final class JobOrder {
    /** How long after its latest start a job is still taken to meet its deadline: estimates are rough. */
    private static final Duration LATENESS_TOLERANCE = Duration.ofSeconds(2);
    /** A job that can't meet its deadline any more goes behind those that can for this long at most. */
    private static final Duration MAX_DELAY_IF_LATE = Duration.ofMinutes(5);
    /** A job that has waited this long without a start is starving and goes first, whatever else there is. */
    private static final Duration STARVATION_DELAY = Duration.ofSeconds(90);
    /** Starving jobs that go first at a time. */
    private static final int MAX_STARVING_JOBS = 8;
    /** Jobs without deadline and objective should start within this. */
    private static final Duration DEFAULT_MAX_WAIT = Duration.ofMinutes(2);
    /** Shorter runs are taken to last this many seconds. */
    private static final double MIN_RUN_SECONDS = 0.5;

    private static final double MILLIS_PER_SECOND = 1e3;

    /** What a job is ordered by, computed once: there may be a thousand jobs. */
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

    private static final Comparator<Ranked> IN_ORDER = Comparator.comparing(Ranked::deprioritized)
            .thenComparing(ranked -> !ranked.starving())
            .thenComparing(ranked -> !ranked.guaranteed())
            .thenComparing(Ranked::priority)
            .thenComparing(Ranked::latestStart)
            .thenComparing(ranked -> ranked.job().id());

    /** Jobs in the order in which they are served; the first {@code urgent} of them must not stand behind the others. */
    record Queue(List<Job> jobs, int urgent) {}

    private final ClusterState clusterState;
    private final PlatformSettings settings;
    private final PriorityInheritance priorityInheritance;

    JobOrder(ClusterState clusterState, PlatformSettings settings) {
        this.clusterState = clusterState;
        this.settings = settings;
        this.priorityInheritance = new PriorityInheritance(clusterState);
    }

    /** Priority of a job, its own or that of a job that needs it. */
    JobSpec.Priority priority(Job job) {
        return priorityInheritance.priority(job);
    }

    /** When a job must be done so that it and the jobs that depend on it meet their deadlines; null if there is none. */
    Instant deadline(Job job) {
        return priorityInheritance.deadline(job);
    }

    /** Run time of a task in seconds: the median so far, or its owner's estimate. */
    static double runSeconds(Job job) {
        return Math.max(MIN_RUN_SECONDS, run(job).toMillis() / MILLIS_PER_SECOND);
    }

    private static Duration run(Job job) {
        Duration median = job.medianRun();
        return median == null ? job.spec().estimatedDuration() : median;
    }

    /** Jobs with work left, the one to be served first at the front. */
    Queue order(Instant now) {
        priorityInheritance.refresh();
        List<Job> open = new ArrayList<>();
        for (Job job : clusterState.jobs()) {
            if (!job.cancelled() && !job.awaitsDependencies()) {
                open.add(job);
            }
        }
        Set<String> guaranteed = guaranteed(open);
        open.removeIf(job -> job.pendingCount() == 0);
        Set<String> starving = starving(open, now);
        List<Ranked> ranked = new ArrayList<>();
        open.forEach(job -> ranked.add(rank(job, guaranteed, starving, now)));
        ranked.sort(IN_ORDER);
        int urgent = 0;
        while (urgent < ranked.size() && ranked.get(urgent).isUrgent()) {
            urgent++;
        }
        return new Queue(ranked.stream().map(Ranked::job).toList(), urgent);
    }

    /**
     * Jobs that have waited too long without a start, and go first for it. Of many at once only those that have waited
     * longest: hundreds of small jobs would keep urgent work from its turn for as long as they last.
     */
    private static Set<String> starving(List<Job> open, Instant now) {
        List<Job> waited = new ArrayList<>();
        for (Job job : open) {
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

    /** Jobs that fit into their team's guarantee together with the earlier unfinished jobs of the team. */
    private Set<String> guaranteed(List<Job> open) {
        if (settings.teams().values().stream().noneMatch(team -> team.cpus() > 0)) {
            return Set.of();
        }
        List<Job> bySubmission = new ArrayList<>(open);
        bySubmission.sort(Comparator.comparing(Job::submittedAt).thenComparing(Job::id));
        Map<String, Resources> used = new HashMap<>();
        Set<String> guaranteed = new HashSet<>();
        for (Job job : bySubmission) {
            int left = job.spec().taskCount() - job.doneCount();
            Resources needed = new Resources(job.spec().cpus(), job.spec().gpus()).times(left);
            Resources sum = used.merge(job.spec().team(), needed, Resources::plus);
            PlatformSettings.Team team = settings.teams().get(job.spec().team());
            if (team != null && team.cpus() > 0 && sum.within(new Resources(team.cpus(), team.gpus()))) {
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

    /** When a task of the job must start so that its deadline and the service-level objective of its class are met. */
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
        Instant latest = deadline.minus(run(job));
        if (!now.isAfter(latest.plus(LATENESS_TOLERANCE))) {
            return latest;
        }
        // It can't meet its deadline any more: those that can go before it, but it must not starve.
        Duration allowed = Duration.between(job.submittedAt(), deadline);
        Instant late = deadline.plus(allowed.dividedBy(2)).minus(run(job));
        return now.isAfter(late) ? job.submittedAt().plus(MAX_DELAY_IF_LATE) : late;
    }
}
