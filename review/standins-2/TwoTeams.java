package second;

import com.google.gson.JsonObject;
import java.util.concurrent.atomic.AtomicInteger;

/** Two teams whose names differ in one character that a key of the state service can't hold. */
public final class TwoTeams {
    private static final String LARGE = "photo&video";
    private static final double LARGE_LIMIT = 88;
    private static final double SMALL_LIMIT = 16;

    public static void main(String[] args) {
        World.guard(() -> play(args[0]));
    }

    private static void play(String folder) throws Exception {
        World w = new World(folder);
        // With TROUBLE=0 the two names differ in characters that stay.
        String small = World.trouble() ? "photo+video" : "photo-video";
        w.teams.put(LARGE, LARGE_LIMIT);
        w.teams.put(small, SMALL_LIMIT);
        w.machinesPerZone = 4;
        w.start();
        w.awaitReady(20);
        World.sleep(3);
        AtomicInteger next = new AtomicInteger();
        // The large team uses its limit for a while.
        for (int i = 0; i < 10; i++) {
            submit(w, next.incrementAndGet(), LARGE, 16, 6, i);
        }
        double until = w.now() + 30;
        World.sleep(3);
        while (used(w, LARGE) > 0 && w.now() < until) {
            World.sleep(0.5);
        }
        World.sleep(3);
        w.note("the large team has no work any more; shares: %s", w.store.value("live/team/photo_video"));
        double most = 0;
        double over = -1;
        double busyAt = 0;
        while (w.now() < 108 && (over < 0 || w.now() < over + 3)) {
            if (w.now() > busyAt + 2 && over < 0) {
                for (int i = 0; i < 4; i++) {
                    submit(w, next.incrementAndGet(), small, 80, 1.0 + 0.13 * i, i);
                }
                busyAt = w.now();
            }
            double used = used(w, small);
            busyAt = used > 0 ? w.now() : busyAt;
            if (used > most) {
                most = used;
                w.note("%s uses %.0f of %.0f CPUs", small, used, SMALL_LIMIT);
            }
            over = over < 0 && most > SMALL_LIMIT ? w.now() : over;
            World.sleep(0.01);
        }
        w.finish(most > SMALL_LIMIT, String.format("%s used %.0f CPUs at once, its limit is %.0f", small, most,
                SMALL_LIMIT));
    }

    private static double used(World w, String team) {
        double used = 0;
        for (Worker worker : w.workers.values()) {
            for (String task : worker.running()) {
                JsonObject job = w.descriptions.get(task.substring(0, task.indexOf('/')));
                if (job.get("crew").getAsString().equals(team)) {
                    used += job.get("vcpus").getAsDouble();
                }
            }
        }
        return used;
    }

    private static void submit(World w, int number, String team, int tasks, double seconds, int node)
            throws InterruptedException {
        String id = World.id(number);
        JsonObject job = World.job(id, "watermark", tasks, 2, 0.5);
        job.addProperty("crew", team);
        w.runSeconds.put(id, seconds);
        World.Answer answer = w.submit(job, node);
        w.note("submission of %s by %s, %d tasks of 2 CPUs: %d", id, team, tasks, answer.status());
    }
}
