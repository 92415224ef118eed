package org.havenford.controller;

import java.time.Duration;
import java.time.Instant;
import org.havenford.transport.EventLoop;

/**
 * Schedules rounds: one at every tick, and one shortly after a request. Requests that arrive together share a round,
 * and a pause before each requested round leaves most of the processor time to requests.
 */
final class RoundTimer {
    private static final Duration TICK = Duration.ofMillis(250);
    /** Delay of a requested round, so that events that arrive together are handled in one round. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(4);

    private static final Duration MIN_ROUND_PAUSE = Duration.ofMillis(50);
    /**
     * Pause before a requested round as a multiple of the duration of the last round. With a thousand machines, most of
     * the processor time is needed to answer requests.
     */
    private static final int ROUND_PAUSE_FACTOR = 12;

    /** Callbacks of the timer. */
    interface Callbacks {
        /** Called at the start of each tick; {@code delay} is the time since the tick was due. */
        void tickStarted(Duration delay);

        /** Runs one round. */
        void runRound();

        /** Runs the periodic work after the round of each tick. */
        void runPeriodicTasks();
    }

    private final EventLoop loop;
    private final Callbacks callbacks;
    private boolean roundRequested;
    /** Earliest time of the next requested round; rounds at ticks ignore it. */
    private Instant nextRoundNotBefore = Instant.MIN;

    RoundTimer(EventLoop loop, Callbacks callbacks) {
        this.loop = loop;
        this.callbacks = callbacks;
    }

    /** Starts the ticks. */
    void start() {
        scheduleTick();
    }

    private void scheduleTick() {
        Instant due = loop.now().plus(TICK);
        loop.after(TICK, () -> {
            callbacks.tickStarted(Duration.between(due, loop.now()));
            scheduleTick();
            runRound();
            callbacks.runPeriodicTasks();
        });
    }

    /** Requests a round after the batch delay, or after the pause that follows the last round if that ends later. */
    void requestRound() {
        if (!roundRequested) {
            roundRequested = true;
            Duration pauseLeft = Duration.between(loop.now(), nextRoundNotBefore);
            loop.after(pauseLeft.compareTo(BATCH_DELAY) > 0 ? pauseLeft : BATCH_DELAY, () -> {
                if (roundRequested) {
                    runRound();
                }
            });
        }
    }

    private void runRound() {
        roundRequested = false;
        Instant start = loop.now();
        callbacks.runRound();
        Instant end = loop.now();
        long roundNanos = Duration.between(start, end).toNanos();
        nextRoundNotBefore = end.plusNanos(roundNanos * ROUND_PAUSE_FACTOR).plus(MIN_ROUND_PAUSE);
    }
}
