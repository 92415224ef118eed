package org.havenford.coordination.membership;

import java.time.Duration;
import java.time.Instant;

/** Computes conservative local deadlines for durations that another process measures with its own clock. */
final class LeaseClock {
    /** Bound on the relative clock drift between two processes: twice the 0.05% by which monotonic clocks drift. */
    private static final double MAX_CLOCK_DRIFT = 0.001;

    /** Allowance for timers of the event loop that fire late. */
    private static final Duration TIMER_DELAY_MARGIN = Duration.ofMillis(150);

    private LeaseClock() {}

    /**
     * Returns the local time until which a duration started by a request is guaranteed not to have elapsed at the
     * process that handles the request.
     *
     * @param sentAt local time at which the request was sent
     */
    static Instant earliestExpiry(Instant sentAt, Duration duration) {
        return sentAt.plusNanos((long) (duration.toNanos() * (1 - MAX_CLOCK_DRIFT)))
                .minus(TIMER_DELAY_MARGIN);
    }
}
