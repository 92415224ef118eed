package second;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A pipeline in three stages: each job of a stage awaits all jobs of the stage before. */
public final class Stages {
    private static final int STAGES = 3;
    private static final int WIDTH = 266;
    private static final double PER_SECOND = 25;
    private static final double COUNT_FROM_S = 54;
    private static final double COUNT_UNTIL_S = 108;

    public static void main(String[] args) {
        World.guard(() -> play(args[0]));
    }

    private static void play(String folder) throws Exception {
        World w = new World(folder);
        w.machinesPerZone = 5;
        w.start();
        w.awaitReady(20);
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger turn = new AtomicInteger();
        double from = w.now();
        int sent = 0;
        for (int stage = 0; stage < STAGES && w.now() < 44; stage++) {
            AtomicInteger accepted = new AtomicInteger();
            for (int i = 0; i < WIDTH; i++) {
                int n = stage * WIDTH + i + 1;
                JsonObject job = World.job(World.id(n), "proxygen", 1, 1, 3.2);
                w.runSeconds.put(World.id(n), 300.0);
                if (stage > 0 && World.trouble()) {
                    JsonArray awaits = new JsonArray();
                    for (int k = 1; k <= WIDTH; k++) {
                        awaits.add(World.id((stage - 1) * WIDTH + k));
                    }
                    job.add("awaits", awaits);
                }
                w.sleepUntil(from + sent++ / PER_SECOND);
                w.threads.execute(() -> {
                    try {
                        double at = w.now();
                        World.Answer a = w.submit(job, n);
                        if (a.status() / 100 != 2) {
                            w.note("submission of %s: %d after %.1f s", World.id(n), a.status(), w.now() - at);
                            return;
                        }
                        accepted.incrementAndGet();
                        // Its user asks every 5 s.
                        w.timer.scheduleAtFixedRate(
                                () -> w.threads.execute(() -> {
                                    double asks = w.now();
                                    World.Answer state = w.poll(World.id(n), turn.incrementAndGet());
                                    if (asks > COUNT_FROM_S && asks < COUNT_UNTIL_S - 2) {
                                        asked.incrementAndGet();
                                        if (state.status() == 200) {
                                            answered.incrementAndGet();
                                        }
                                    }
                                }),
                                2, 5, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
            }
            while (accepted.get() < WIDTH && w.now() < 44) {
                World.sleep(0.05);
            }
            w.note("stage %d: %d jobs accepted", stage + 1, accepted.get());
            if (stage < STAGES - 1 && accepted.get() < WIDTH) {
                w.cannotRun("the first stages were not accepted in time");
            }
            from = Math.max(from, w.now() - sent / PER_SECOND);
        }
        while (w.now() < COUNT_UNTIL_S) {
            World.sleep(5);
            int running = 0;
            for (Worker worker : w.workers.values()) {
                running += worker.running().size();
            }
            w.note("%d questions asked since second %.0f, %d answered; %d tasks run on %d machines", asked.get(),
                    COUNT_FROM_S, answered.get(), running, w.workers.size());
        }
        w.finish(
                answered.get() * 2 < asked.get(),
                String.format("%d of %d questions answered", answered.get(), asked.get()));
    }
}
