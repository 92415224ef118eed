package org.havenford.transport;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** An event loop on the only I/O thread of an XNIO worker. */
public final class XnioLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioLoop.class);
    private final XnioIoThread thread;
    private final long startNanos = System.nanoTime();

    /** Creates an event loop on an I/O thread. */
    public XnioLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    /** Returns the thread that runs the loop. */
    public XnioIoThread thread() {
        return thread;
    }

    @Override
    public Instant now() {
        return Instant.EPOCH.plusNanos(System.nanoTime() - startNanos);
    }

    @Override
    public Instant timeOfDay() {
        return Instant.now();
    }

    @Override
    public void after(Duration delay, Runnable task) {
        if (delay.isZero() || delay.isNegative()) {
            thread.execute(guarded(task));
        } else {
            thread.executeAfter(guarded(task), Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Schedules a task like {@link #after}; the returned key cancels it. Meant for timeouts, most of which never expire:
     * without cancellation, each would still wake the thread.
     */
    XnioExecutor.Key afterCancellable(Duration delay, Runnable task) {
        return thread.executeAfter(guarded(task), Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
    }

    /** Wraps a task so that an exception is logged and ends neither the loop nor the process. */
    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | StackOverflowError e) {
                LOG.error("event loop task failed", e);
            }
        };
    }
}
