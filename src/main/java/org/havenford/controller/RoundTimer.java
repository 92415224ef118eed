package org.havenford.controller;

import java.time.Duration;
import java.time.Instant;
import org.havenford.transport.EventLoop;

/**
 * Decides when rounds are run: with every tick, and soon after one was requested. What comes in together is decided
 * together, and rounds leave most of the time to answers.
 */
final class RoundTimer {
    private static final Duration TICK = Duration.ofMillis(250);
    /** How long a requested round waits for more to come in. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(4);

    private static final Duration MIN_BETWEEN_ROUNDS = Duration.ofMillis(50);
    /** Times as long as a round took that the next one waits: with a thousand machines it is answers that use the processor. */
    private static final int PAUSE_PER_ROUND_DURATION = 12;

    /** What is run when the timer fires. */
    interface Work {
        /** A tick has come, {@code delay} after its time. */
        void tickStarted(Duration delay);

        /** Runs one round of decisions. */
        void runRound();

        /** Runs what follows the round of each tick. */
        void runPeriodicWork();
    }

    private final EventLoop loop;
    private final Work work;
    private boolean roundRequested;
    /** No round is requested before this time; the first may be at once. */
    private Instant pauseUntil = Instant.MIN;

    RoundTimer(EventLoop loop, Work work) {
        this.loop = loop;
        this.work = work;
    }

    /** Begins to tick. */
    void start() {
        scheduleTick();
    }

    private void scheduleTick() {
        Instant due = loop.now().plus(TICK);
        loop.after(TICK, () -> {
            work.tickStarted(Duration.between(due, loop.now()));
            scheduleTick();
            runRound();
            work.runPeriodicWork();
        });
    }

    /** Asks for a round soon. */
    void requestRound() {
        if (!roundRequested) {
            roundRequested = true;
            Duration pause = Duration.between(loop.now(), pauseUntil);
            loop.after(pause.compareTo(BATCH_DELAY) > 0 ? pause : BATCH_DELAY, () -> {
                if (roundRequested) {
                    runRound();
                }
            });
        }
    }

    private void runRound() {
        roundRequested = false;
        Instant start = loop.now();
        work.runRound();
        Instant end = loop.now();
        long roundNanos = Duration.between(start, end).toNanos();
        pauseUntil = end.plusNanos(roundNanos * PAUSE_PER_ROUND_DURATION).plus(MIN_BETWEEN_ROUNDS);
    }
}
