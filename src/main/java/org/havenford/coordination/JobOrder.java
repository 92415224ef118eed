package org.havenford.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.havenford.bookkeeping.Job;
import org.havenford.bookkeeping.Ledger;
import org.havenford.bookkeeping.Quota.Amount;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.Settings;

/**
 * The order in which jobs are served: what has waited too long without a start, then work within its team's guarantee, then
 * by priority, then by the latest start that still meets the aim of the class; last those that seem to fail on every machine.
 * Jobs that wait for others are no part of it.
 */
final class JobOrder {
    /** How long after its latest start a job is still taken to be in time: estimates are rough. */
    private static final Duration HOPELESS = Duration.ofSeconds(2);
    /** A job that can't be in time any more goes behind those that can for this long at most. */
    private static final Duration AFTER_ALL = Duration.ofMinutes(5);
    /** A job that has waited this long without a start goes first, whatever else there is. */
    private static final Duration STARVING = Duration.ofSeconds(90);
    /** Jobs without deadline and aim should start within this. */
    private static final Duration USUAL_WAIT = Duration.ofSeconds(120);
    /** The shortest run that is reckoned with, in seconds. */
    private static final double SHORTEST_RUN = 0.5;

    private final Ledger ledger;
    private final Settings settings;
    private final Inheritance inheritance;

    JobOrder(Ledger ledger, Settings settings) {
        this.ledger = ledger;
        this.settings = settings;
        this.inheritance = new Inheritance(ledger);
    }

    /** Priority of a job, its own or that of a job that needs it. */
    JobSpec.Priority priority(Job job) {
        return inheritance.priority(job);
    }

    /** When a job must be done for itself and what needs it to be in time; null where there is no deadline. */
    Instant due(Job job) {
        return inheritance.due(job);
    }

    /** Run time of a task in seconds: the median so far, or its owner's estimate. */
    static double runSeconds(Job job) {
        return Math.max(SHORTEST_RUN, run(job).toMillis() / 1e3);
    }

    private static Duration run(Job job) {
        Duration median = job.medianRun();
        return median == null ? job.spec().guess() : median;
    }

    /** Jobs with work left, the one to be served first at the front. */
    List<Job> order(Instant now) {
        inheritance.refresh();
        List<Job> open = new ArrayList<>();
        for (Job job : ledger.jobs()) {
            if (!job.cancelled() && !job.waiting()) {
                open.add(job);
            }
        }
        Set<String> guaranteed = guaranteed(open);
        open.removeIf(job -> job.pendingCount() == 0);
        Map<String, Instant> latestStarts = new HashMap<>();
        open.forEach(job -> latestStarts.put(job.id(), latestStart(job, now)));
        open.sort(Comparator.comparing((Job job) -> FailingJobs.goesLast(job, now))
                .thenComparing(job -> !starves(job, now))
                .thenComparing(job -> !guaranteed.contains(job.id()))
                .thenComparing(this::priority)
                .thenComparing(job -> latestStarts.get(job.id()))
                .thenComparing(Job::id));
        return open;
    }

    /** Jobs that fit into their team's guarantee together with the earlier unfinished jobs of the team. */
    private Set<String> guaranteed(List<Job> open) {
        List<Job> bySubmission = new ArrayList<>(open);
        bySubmission.sort(Comparator.comparing(Job::submitted).thenComparing(Job::id));
        Map<String, Amount> used = new HashMap<>();
        Set<String> guaranteed = new HashSet<>();
        for (Job job : bySubmission) {
            int left = job.spec().tasks() - job.doneCount();
            Amount needed = new Amount(job.spec().cpus(), job.spec().cards()).times(left);
            Amount sum = used.merge(job.spec().team(), needed, Amount::plus);
            Settings.Team team = settings.teams().get(job.spec().team());
            if (team != null && team.cpus() > 0 && sum.within(new Amount(team.cpus(), team.cards()))) {
                guaranteed.add(job.id());
            }
        }
        return guaranteed;
    }

    private static boolean starves(Job job, Instant now) {
        return job.claimCount() == 0
                && job.doneCount() == 0
                && now.isAfter(job.released().plus(STARVING));
    }

    /** When a task of the job must start so that the aim of its class is met. */
    Instant latestStart(Job job, Instant now) {
        Instant due = due(job);
        Instant latest = due == null ? null : latestStart(job, due, now);
        for (Settings.Objective aim : settings.objectives()) {
            boolean concerns =
                    aim.kind().equals("wait") && aim.lineup().equals(job.spec().lineup());
            if (concerns && aim.within() != null) {
                Instant at = job.released().plus(aim.within());
                latest = latest == null || at.isBefore(latest) ? at : latest;
            }
        }
        return latest == null ? job.released().plus(USUAL_WAIT) : latest;
    }

    private static Instant latestStart(Job job, Instant due, Instant now) {
        Instant latest = due.minus(run(job));
        if (!now.isAfter(latest.plus(HOPELESS))) {
            return latest;
        }
        // It can't be in time any more: those that can go before it, but it is not left to the end of days.
        Duration allowed = Duration.between(job.submitted(), due);
        Instant late = due.plus(allowed.dividedBy(2)).minus(run(job));
        return now.isAfter(late) ? job.submitted().plus(AFTER_ALL) : late;
    }
}
