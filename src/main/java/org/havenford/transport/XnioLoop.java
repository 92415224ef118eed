package org.havenford.transport;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The event loop on XNIO's single I/O thread. */
public final class XnioLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioLoop.class);
    private final XnioIoThread thread;
    private final long origin = System.nanoTime();

    /** An event loop on an I/O thread. */
    public XnioLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    /** The thread that runs the loop. */
    public XnioIoThread thread() {
        return thread;
    }

    @Override
    public Instant now() {
        return Instant.EPOCH.plusNanos(System.nanoTime() - origin);
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

    /** As {@link #after}, for what mostly need not happen: a timer that is not taken back wakes the thread for nothing. */
    XnioExecutor.Key unlessRemoved(Duration delay, Runnable task) {
        return thread.executeAfter(guarded(task), Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
    }

    /** An exception in one task must end neither the loop nor the process. */
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
