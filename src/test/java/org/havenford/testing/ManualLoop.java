package org.havenford.testing;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.havenford.transport.EventLoop;

/** An event loop whose clock advances, and whose timers run, only when a test calls for it. */
public final class ManualLoop implements EventLoop {
    private static final Instant DEFAULT_START = Instant.ofEpochSecond(1_700_000_000L);

    /** A task and its due time. Tasks with the same due time run in the order in which they were scheduled. */
    private record Timer(Instant due, long sequence, Runnable task) {}

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparing(Timer::due).thenComparingLong(Timer::sequence));
    private Instant now;
    private long timersScheduled;

    /** Creates a loop whose clock starts at a fixed time in the year 2023. */
    public ManualLoop() {
        this(DEFAULT_START);
    }

    /** Creates a loop whose clock starts at {@code start}. */
    public ManualLoop(Instant start) {
        now = start;
    }

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public Instant timeOfDay() {
        return now;
    }

    @Override
    public void after(Duration delay, Runnable task) {
        timers.add(new Timer(now.plus(delay), timersScheduled++, task));
    }

    /** Advances the clock without running any timer, as when the process is paused. */
    public void advance(Duration time) {
        now = now.plus(time);
    }

    /** Advances the clock and runs each timer that becomes due, at its due time. */
    public void runFor(Duration time) {
        Instant end = now.plus(time);
        while (!timers.isEmpty() && !timers.peek().due().isAfter(end)) {
            Timer timer = timers.remove();
            now = timer.due();
            timer.task().run();
        }
        now = end;
    }

    /** Runs the timer with the earliest due time, without advancing the clock. */
    public void runNextTimer() {
        timers.remove().task().run();
    }
}
