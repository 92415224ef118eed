package org.havenford.coordination.membership;

import java.time.Duration;
import java.time.Instant;

/** Computes until when something that another process measures with its own clock is certain to hold. */
final class LeaseClock {
    /** Monotonic clocks drift apart by 0.05%; this is twice that. */
    private static final double MAX_DRIFT = 0.001;

    /** Covers the time by which a timer of the event loop may be late. */
    private static final Duration MARGIN = Duration.ofMillis(150);

    private LeaseClock() {}

    /**
     * Returns the time until which a duration that began at the other process is certain not to have passed there.
     *
     * @param sentAt when the request was sent that made the duration begin
     */
    static Instant certainUntil(Instant sentAt, Duration duration) {
        return sentAt.plusNanos((long) (duration.toNanos() * (1 - MAX_DRIFT))).minus(MARGIN);
    }
}
