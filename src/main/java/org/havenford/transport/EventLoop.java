package org.havenford.transport;

import java.time.Duration;
import java.time.Instant;

/**
 * The single-threaded event loop that runs all of the controller's logic, with its timers and clocks. {@link #now()} is a
 * monotonic clock: its instants can be compared only with each other, and they do not jump when the time of day is
 * corrected.
 */
public interface EventLoop {
    /** Returns the time of the monotonic clock. */
    Instant now();

    /** Returns the time of day. Clocks of different nodes differ, so it is never used for leases. */
    Instant timeOfDay();

    /** Schedules a task to run on this loop after a delay. */
    void after(Duration delay, Runnable task);
}
