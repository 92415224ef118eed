import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Clock, lock, threads and record of one run. All stand-ins synchronize on their World. */
final class World {
    private final long start = System.nanoTime();
    private final PrintWriter record;
    final ExecutorService pool = Executors.newCachedThreadPool(World::daemon);
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(4, World::daemon);

    World(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), false);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    /** Seconds since the start of the run, by the steady clock. */
    double now() {
        return (System.nanoTime() - start) / 1e9;
    }

    /** Writes a line to record.txt. */
    void record(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, arguments);
        synchronized (record) {
            record.println(line);
            record.flush();
        }
    }

    /** Writes a line to record.txt and to standard output. */
    void say(String format, Object... arguments) {
        record(format, arguments);
        System.out.println(String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, arguments));
    }

    /** Runs a task later, holding the lock. */
    void after(double seconds, Runnable task) {
        timer.schedule(() -> guarded(task), (long) (seconds * 1e6), TimeUnit.MICROSECONDS);
    }

    /** Runs a task again and again, holding the lock. */
    void every(double seconds, Runnable task) {
        long period = (long) (seconds * 1e6);
        timer.scheduleAtFixedRate(() -> guarded(task), period, period, TimeUnit.MICROSECONDS);
    }

    private void guarded(Runnable task) {
        try {
            synchronized (this) {
                task.run();
            }
        } catch (RuntimeException e) {
            record("stand-in failed: %s", e);
            e.printStackTrace();
        }
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
