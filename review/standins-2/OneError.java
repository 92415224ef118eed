package second;

import com.google.gson.JsonObject;

/** A task fails once, on the only machine that its job may use; the machine is sound and idle from then on. */
public final class OneError {
    private static final double LIMIT_S = 90;

    public static void main(String[] args) {
        World.guard(() -> play(args[0]));
    }

    private static void play(String folder) throws Exception {
        World w = new World(folder);
        w.machinesPerZone = 1;
        w.maxMachinesPerZone = 1;
        w.start();
        w.awaitReady(20);
        World.sleep(2);
        if (World.trouble()) {
            w.failing.add("j-000001/0");
        }
        submit(w, 1, 0);
        double failed = -1;
        while (w.now() < 20 && failed < 0) {
            World.sleep(0.05);
            if (World.trouble() ? w.failing.isEmpty() : w.ended("j-000001")) {
                failed = w.now();
            }
        }
        if (failed < 0) {
            w.cannotRun("the task did not run");
        }
        w.note("the task has ended for the first time");
        World.sleep(3);
        submit(w, 2, 1);
        int polls = 0;
        double otherDone = -1;
        double done = -1;
        while (w.now() < failed + LIMIT_S + 5 && done < 0) {
            World.Answer first = w.poll("j-000001", polls);
            World.Answer second = w.poll("j-000002", polls++);
            w.note("poll of j-000001: %s, of j-000002: %s", first.state(), second.state());
            if (second.state().equals("done") && otherDone < 0) {
                otherDone = w.now();
            }
            done = first.state().equals("done") ? w.now() : done;
            World.sleep(3);
        }
        w.note("j-000002, bound to the same zone: done %s", otherDone < 0 ? "never" : "at " + otherDone);
        w.finish(
                done < 0,
                done < 0
                        ? String.format("j-000001 has waited %.0f s beside an idle machine that fits", w.now() - failed)
                        : String.format("j-000001 was done %.0f s later", done - failed));
    }

    private static void submit(World w, int number, int node) throws InterruptedException {
        JsonObject job = World.job(World.id(number), "clipcut", 1, 8, 22);
        job.addProperty("hall", "krpole");
        w.runSeconds.put(World.id(number), 2.0);
        World.Answer answer = w.submit(job, node);
        w.note("submission of %s: %d %s", World.id(number), answer.status(), answer.body());
    }
}
