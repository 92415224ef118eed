package org.havenford.coordination.monitoring;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;

/**
 * Detects that this process was paused while its clocks went on: between two events of the loop, of which a timer brings
 * several a second, far more time has passed than any of them takes. Every event of the controller passes through here,
 * so the pause is known before the first of those that were due or came in meanwhile is handled.
 */
public final class ProcessPauseDetector implements EventLoop, HttpCalls {
    /** The loop's timer comes several times a second; a busy processor delays it, but not for this long. */
    static final Duration MIN_PAUSE = Duration.ofSeconds(2);

    private final EventLoop loop;
    private final HttpCalls calls;
    private final Consumer<Duration> pauseListener;
    /** When the last event began; null before the first. */
    private Instant lastEvent;

    /** {@code pauseListener} is told of each pause and its length, before the event that ends it is handled. */
    public ProcessPauseDetector(EventLoop loop, HttpCalls calls, Consumer<Duration> pauseListener) {
        this.loop = loop;
        this.calls = calls;
        this.pauseListener = pauseListener;
    }

    /** An event of the loop begins. */
    public void eventStarted() {
        Instant now = loop.now();
        Duration sinceLastEvent = lastEvent == null ? Duration.ZERO : Duration.between(lastEvent, now);
        lastEvent = now;
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
