package org.havenford.testing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.havenford.transport.EventLoop;

/** A loop whose clock a test moves, and whose timers it runs. */
public final class ManualLoop implements EventLoop {
    Instant now = Instant.ofEpochSecond(1_700_000_000L);
    public final List<Runnable> timers = new ArrayList<>();

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
        timers.add(task);
    }

    /** Lets time pass and runs what is due meanwhile. */
    public void pass(double seconds) {
        now = now.plusMillis((long) (seconds * 1000));
    }
}
