package second;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Nine jobs name the same many jobs, all of which are done but one; then that one ends. */
public final class WideRelease {
    private static final int DEPENDENTS = 9;

    public static void main(String[] args) {
        World.guard(() -> play(args[0]));
    }

    private static void play(String folder) throws Exception {
        World w = new World(folder);
        // With TROUBLE=0 all is the same, but the lists are short.
        int names = World.trouble() ? 660 : 60;
        int needed = 660;
        w.machinesPerZone = 5;
        w.start();
        w.awaitReady(20);
        AtomicInteger accepted = new AtomicInteger();
        AtomicInteger next = new AtomicInteger();
        // Single thumbnail grabs, 25 a second.
        var submitting = w.timer.scheduleAtFixedRate(
                () -> {
                    int n = next.incrementAndGet();
                    if (n >= needed) {
                        return;
                    }
                    JsonObject job = World.job(World.id(n), "thumbdust", 1, 0.25, 0.9);
                    w.runSeconds.put(World.id(n), 1.0);
                    w.threads.execute(() -> {
                        try {
                            if (w.submit(job, n).status() / 100 == 2) {
                                accepted.incrementAndGet();
                            }
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    });
                },
                0, 40, java.util.concurrent.TimeUnit.MILLISECONDS);
        double until = 75;
        while ((accepted.get() < needed - 1 || w.store.count("final/") < needed - 1) && w.now() < until) {
            World.sleep(0.2);
        }
        submitting.cancel(false);
        w.note("%d jobs accepted, %d ended", accepted.get(), w.store.count("final/"));
        if (accepted.get() < needed - 1) {
            w.cannotRun("not all jobs were accepted");
        }
        String last = World.id(needed);
        w.runSeconds.put(last, 14.0);
        World.Answer answer = w.submit(World.job(last, "clipcut", 1, 0.25, 0.9), 0);
        w.note("submission of %s: %d %s", last, answer.status(), answer.body());
        for (int d = 1; d <= DEPENDENTS; d++) {
            String id = World.id(needed + d);
            JsonObject job = World.job(id, "reelpack", 1, 1, 3.2);
            JsonArray awaits = new JsonArray();
            for (int n = needed - names + 1; n <= needed; n++) {
                awaits.add(World.id(n));
            }
            job.add("awaits", awaits);
            w.runSeconds.put(id, 2.0);
            answer = w.submit(job, d);
            w.note("submission of %s, which awaits %d jobs, %d bytes: %d %s", id, awaits.size(),
                    job.toString().length(), answer.status(), answer.body());
        }
        while (w.now() < 90 && !w.ended(last)) {
            World.sleep(0.1);
        }
        if (!w.ended(last)) {
            w.cannotRun("the task of " + last + " did not end in time");
        }
        double ended = w.now();
        w.note("the only task of %s has completed", last);
        double doneAt = -1;
        int polls = 0;
        while (w.now() < Math.min(ended + 40, 116) && doneAt < 0) {
            answer = w.poll(last, polls++);
            w.note("poll of %s: %d %s", last, answer.status(), answer.body());
            if (answer.state().equals("done")) {
                doneAt = w.now() - ended;
            }
            World.sleep(1);
        }
        for (int d = 1; d <= DEPENDENTS; d++) {
            answer = w.poll(World.id(needed + d), d);
            w.note("poll of %s: %d %s", World.id(needed + d), answer.status(), answer.body());
        }
        w.note("transactions that were too large: %d", w.store.tooLarge);
        w.finish(
                doneAt < 0,
                doneAt < 0
                        ? String.format("%.0f s after its last task, %s is not done", w.now() - ended, last)
                        : String.format("done %.1f s after the last task", doneAt));
    }
}
