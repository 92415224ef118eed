package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.havenford.storage.records.Job;

/**
 * Applies back-off to jobs whose tasks fail. A job with several failures and no task done may be broken itself: it is
 * retried one task at a time, with exponential back-off and, after more failures, behind all healthy jobs. Once one of
 * its tasks is done, its failures are attributed to the machines.
 */
public final class FailingJobBackoff {
    /** Number of failures from which a job without a finished task is assumed to fail on every machine. */
    private static final int LIKELY_BROKEN_FAILURES = 3;

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(500);
    private static final int MAX_DOUBLINGS = 10;
    private static final Duration MAX_BACKOFF = Duration.ofMinutes(1);
    /** Maximum back-off of a job with at least one task done. */
    private static final Duration MAX_BACKOFF_IF_KNOWN_TO_WORK = Duration.ofSeconds(4);
    /** Number of failures from which a job without a finished task goes last, except in its service window. */
    private static final int DEPRIORITIZED_FAILURES = 6;
    /** A deprioritized job might be healthy, so it has one service window in each period of this length, in seconds. */
    private static final int SERVICE_PERIOD_SECONDS = 60;

    /** Length, in seconds, of the window in which a deprioritized job is placed like any other. */
    private static final int SERVICE_WINDOW_SECONDS = 5;
    /** Concurrent claims per finished task of a job that works but has failed since its last success. */
    private static final int CLAIMS_PER_DONE_TASK = 2;

    private record Backoff(int failures, Instant until) {}

    private final Map<String, Backoff> backoffs = new HashMap<>();

    /** Whether a job may be failing on every machine: it has several failures and no finished task. */
    public static boolean isLikelyBroken(Job job) {
        return job.failuresSinceSuccess() >= LIKELY_BROKEN_FAILURES && job.doneCount() == 0;
    }

    /**
     * Whether a job is placed after all healthy jobs. Service windows depend only on the time of day and the job's id,
     * so all controllers apply the same ones.
     */
    static boolean isDeprioritized(Job job, Instant timeOfDay) {
        boolean failing = job.failuresSinceSuccess() >= DEPRIORITIZED_FAILURES && job.doneCount() == 0;
        long second = timeOfDay.getEpochSecond() + job.id().hashCode();
        return failing && Math.floorMod(second, SERVICE_PERIOD_SECONDS) >= SERVICE_WINDOW_SECONDS;
    }

    /** Returns how many tasks of a job may be claimed concurrently. */
    static int maxClaims(Job job) {
        return job.failuresSinceSuccess() < LIKELY_BROKEN_FAILURES
                ? Integer.MAX_VALUE
                : Math.max(1, CLAIMS_PER_DONE_TASK * job.doneCount());
    }

    /** Whether the job's next attempt has to wait because of failures; {@code now} is of the monotonic clock. */
    boolean isBackingOff(Job job, Instant now) {
        int failures = job.failuresSinceSuccess();
        if (failures == 0) {
            backoffs.remove(job.id());
            return false;
        }
        Backoff backoff = backoffs.get(job.id());
        if (backoff == null || backoff.failures() != failures) {
            backoff = new Backoff(failures, now.plus(backoffAfter(job)));
            backoffs.put(job.id(), backoff);
        }
        return now.isBefore(backoff.until());
    }

    /** Discards the state kept for a job that has ended. */
    void jobEnded(Job job) {
        backoffs.remove(job.id());
    }

    private static Duration backoffAfter(Job job) {
        Duration doubled = FIRST_BACKOFF.multipliedBy(1L << Math.min(MAX_DOUBLINGS, job.failuresSinceSuccess() - 1));
        Duration longest = job.doneCount() > 0 ? MAX_BACKOFF_IF_KNOWN_TO_WORK : MAX_BACKOFF;
        return doubled.compareTo(longest) > 0 ? longest : doubled;
    }
}
