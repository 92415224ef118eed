package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.havenford.storage.records.Job;

/**
 * Back-off for jobs whose tasks fail. A job of which several tasks have failed and none was ever done may have been
 * submitted with a mistake: it is retried with one task at a time, with exponential back-off, behind all healthy work. Once
 * a task of it is done, the failures are taken to be the machines' fault.
 */
public final class FailingJobBackoff {
    /** Failures from which on a job without a success is taken to be one that fails everywhere. */
    private static final int SUSPECT_FAILURES = 3;

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(500);
    private static final int MAX_DOUBLINGS = 10;
    private static final Duration MAX_BACKOFF = Duration.ofMinutes(1);
    /** The longest back-off of a job that is known to work. */
    private static final Duration MAX_BACKOFF_IF_KNOWN_TO_WORK = Duration.ofSeconds(4);
    /** Failures from which on a job without a success goes behind all healthy work, except in its service window. */
    private static final int DEPRIORITIZED_FAILURES = 6;
    /** In each period, in seconds, a job that goes last has one service window, as it might be healthy. */
    private static final int SERVICE_PERIOD_SECONDS = 60;

    /** Length, in seconds, of the window in which the job is served like any other. */
    private static final int SERVICE_WINDOW_SECONDS = 5;
    /** Tasks that may run at a time, for each that is done, of a job that works but has failed lately. */
    private static final int CLAIMS_PER_DONE_TASK = 2;

    private record Backoff(int errors, Instant until) {}

    private final Map<String, Backoff> backoffs = new HashMap<>();

    /** Whether a job may be one that fails on every machine. */
    public static boolean isSuspect(Job job) {
        return job.errors() >= SUSPECT_FAILURES && job.doneCount() == 0;
    }

    /** Whether a job is served behind all healthy work at a time of day; all controllers agree on its service windows. */
    static boolean isDeprioritized(Job job, Instant timeOfDay) {
        boolean suspect = job.errors() >= DEPRIORITIZED_FAILURES && job.doneCount() == 0;
        long second = timeOfDay.getEpochSecond() + job.id().hashCode();
        return suspect && Math.floorMod(second, SERVICE_PERIOD_SECONDS) >= SERVICE_WINDOW_SECONDS;
    }

    /** How many tasks of a job may be claimed at a time. */
    static int maxClaims(Job job) {
        return job.errors() < SUSPECT_FAILURES
                ? Integer.MAX_VALUE
                : Math.max(1, CLAIMS_PER_DONE_TASK * job.doneCount());
    }

    /** Whether the tasks of a job have failed so often that the next attempt has to wait; {@code now} is monotonic. */
    boolean isBackingOff(Job job, Instant now) {
        int errors = job.errors();
        if (errors == 0) {
            backoffs.remove(job.id());
            return false;
        }
        Backoff backoff = backoffs.get(job.id());
        if (backoff == null || backoff.errors() != errors) {
            backoff = new Backoff(errors, now.plus(backoffAfter(job)));
            backoffs.put(job.id(), backoff);
        }
        return now.isBefore(backoff.until());
    }

    /** A job is over. */
    void jobEnded(Job job) {
        backoffs.remove(job.id());
    }

    private static Duration backoffAfter(Job job) {
        Duration doubled = FIRST_BACKOFF.multipliedBy(1L << Math.min(MAX_DOUBLINGS, job.errors() - 1));
        Duration longest = job.doneCount() > 0 ? MAX_BACKOFF_IF_KNOWN_TO_WORK : MAX_BACKOFF;
        return doubled.compareTo(longest) > 0 ? longest : doubled;
    }
}
