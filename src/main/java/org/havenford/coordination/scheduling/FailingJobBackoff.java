package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.havenford.storage.records.Job;

/**
 * Restrains jobs whose tasks fail. A job of which several tasks have failed and none was ever done may have been submitted
 * with a mistake: it is tried with one task at a time, at growing intervals, behind all sound work. Once a task of it is
 * done, the failures are taken to be the machines' fault.
 */
public final class FailingJobBackoff {
    /** Failures from which on a job without a success is taken to be one that fails everywhere. */
    private static final int SUSPECT_FROM = 3;

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(500);
    private static final int MAX_DOUBLINGS = 10;
    private static final Duration LONGEST_BACKOFF = Duration.ofMinutes(1);
    /** The longest wait of a job that is known to work. */
    private static final Duration LONGEST_BACKOFF_IF_SOUND = Duration.ofSeconds(4);
    /** Failures from which on a job without a success goes behind all sound work, but in its turn. */
    private static final int LAST_FROM = 6;
    /** Of each period a job that goes last is served for a while as if it were sound: it might be. */
    private static final int PERIOD_SECONDS = 60;

    private static final int TURN_SECONDS = 5;
    /** Tasks that may run at a time, for each that is done, of a job that works but has failed lately. */
    private static final int GROWTH = 2;

    private record Backoff(int errors, Instant until) {}

    private final Map<String, Backoff> backoffs = new HashMap<>();

    /** Whether a job may be one that fails on every machine. */
    public static boolean isSuspect(Job job) {
        return job.errors() >= SUSPECT_FROM && job.doneCount() == 0;
    }

    /** Whether a job is served behind all sound work at a time of day; all controllers agree on its turns. */
    static boolean isDeprioritized(Job job, Instant timeOfDay) {
        boolean suspect = job.errors() >= LAST_FROM && job.doneCount() == 0;
        long second = timeOfDay.getEpochSecond() + job.id().hashCode();
        return suspect && Math.floorMod(second, PERIOD_SECONDS) >= TURN_SECONDS;
    }

    /** How many tasks of a job may be claimed at a time. */
    static int maxClaims(Job job) {
        return job.errors() < SUSPECT_FROM ? Integer.MAX_VALUE : Math.max(1, GROWTH * job.doneCount());
    }

    /** Whether the tasks of a job have failed so often that the next attempt has to wait. */
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
        Duration longest = job.doneCount() > 0 ? LONGEST_BACKOFF_IF_SOUND : LONGEST_BACKOFF;
        return doubled.compareTo(longest) > 0 ? longest : doubled;
    }
}
