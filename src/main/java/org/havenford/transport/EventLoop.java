package org.havenford.transport;

import java.time.Duration;
import java.time.Instant;

/**
 * The one thread on which all decisions are taken. {@link #now()} is a steady clock: its instants can only be compared
 * with each other, and they do not jump when the time of day is corrected.
 */
public interface EventLoop {
    /** The steady clock. */
    Instant now();

    /** Time of day, off by at most the bound that the settings name. Never used for leases. */
    Instant timeOfDay();

    /** Runs a task on this loop after a delay. */
    void after(Duration delay, Runnable task);
}
