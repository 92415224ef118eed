package org.havenford.coordination.monitoring;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;

/**
 * Detects pauses of this process during which its clocks kept running. A timer triggers several events per second, so a
 * much longer gap between two events indicates a pause. All events of the controller pass through this class, so a
 * pause is reported before the first event that became due or arrived during the pause is handled.
 */
public final class ProcessPauseDetector implements EventLoop, HttpCalls {
    /**
     * Shortest gap reported as a pause. The timer fires several times per second, and CPU load delays it for less than
     * this.
     */
    static final Duration MIN_PAUSE = Duration.ofSeconds(2);

    private final EventLoop loop;
    private final HttpCalls calls;
    private final Consumer<Duration> pauseListener;
    /** When the last event started; null before the first event. */
    private Instant lastEventAt;

    /**
     * Creates a detector in front of an event loop and its HTTP calls.
     *
     * @param pauseListener receives the duration of each pause before the event that ends the pause is handled
     */
    public ProcessPauseDetector(EventLoop loop, HttpCalls calls, Consumer<Duration> pauseListener) {
        this.loop = loop;
        this.calls = calls;
        this.pauseListener = pauseListener;
    }

    /** Must be called at the start of each event that is not dispatched by this object. Reports a preceding pause. */
    public void eventStarted() {
        Instant now = loop.now();
        Duration sinceLastEvent = lastEventAt == null ? Duration.ZERO : Duration.between(lastEventAt, now);
        lastEventAt = now;
        if (sinceLastEvent.compareTo(MIN_PAUSE) >= 0) {
            pauseListener.accept(sinceLastEvent);
        }
    }

    @Override
    public Instant now() {
        return loop.now();
    }

    @Override
    public Instant timeOfDay() {
        return loop.timeOfDay();
    }

    @Override
    public void after(Duration delay, Runnable task) {
        loop.after(delay, () -> {
            eventStarted();
            task.run();
        });
    }

    @Override
    public void call(String address, String method, String path, String body, Duration timeout, Consumer<Reply> done) {
        calls.call(address, method, path, body, timeout, reply -> {
            eventStarted();
            done.accept(reply);
        });
    }
}
