package second;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A zone is cut off just before a job is cancelled, in a deployment whose cancel_s is little more than its lease_s. */
public final class TightCancel {
    private static final double CANCEL_S = 31;

    public static void main(String[] args) {
        World.guard(() -> play(args[0]));
    }

    private static void play(String folder) throws Exception {
        World w = new World(folder);
        w.cancelS = CANCEL_S;
        Map<Integer, Double> compared = new ConcurrentHashMap<>();
        w.start();
        w.store.filter = (node, body) -> {
            if (body.contains("live/view") && body.contains("\"writes\":[]")) {
                compared.put(node, w.now());
            }
            return true;
        };
        w.awaitReady(20);
        w.sleepUntil(8);
        w.runSeconds.put("j-000001", 90.0);
        World.Answer answer = w.submit(World.job("j-000001", "slowmo", 16, 8, 22), 0);
        w.note("submission of j-000001: %d %s", answer.status(), answer.body());
        w.sleepUntil(16);
        int x = -1;
        List<Worker> held = List.of();
        for (int i = w.nodes - 1; i >= 0; i--) {
            List<Worker> its = new ArrayList<>();
            for (Worker worker : w.workers.values()) {
                if (worker.zone.equals(w.node[i].zone)
                        && worker.reportsTo() == i
                        && !worker.running().isEmpty()) {
                    its.add(worker);
                }
            }
            if (its.size() > held.size()) {
                x = i;
                held = its;
            }
        }
        if (x < 0) {
            w.cannotRun("no controller has tasks on a machine of its zone");
        }
        double before = compared.get(x);
        while (compared.get(x) == before) {
            World.sleep(0.005);
        }
        String zone = w.node[x].zone;
        if (World.trouble()) {
            w.note("zone %s is cut off", zone);
            w.store.cut.add(x);
            w.cloud.cut.add(x);
            for (Worker worker : w.workers.values()) {
                for (int i = 0; i < w.nodes; i++) {
                    if (worker.zone.equals(zone) != w.node[i].zone.equals(zone)) {
                        worker.unreachable.add(i);
                    }
                }
                worker.commandsLost = worker.zone.equals(zone) && !held.contains(worker);
            }
        }
        World.sleep(0.1);
        answer = w.abort("j-000001", (x + 1) % w.nodes);
        double told = w.now();
        w.note("cancellation of j-000001: %d %s", answer.status(), answer.body());
        if (!answer.state().equals("withdrawn")) {
            w.cannotRun("the job was not cancelled");
        }
        double last = 0;
        while (w.now() < told + CANCEL_S + 6) {
            for (Worker worker : w.workers.values()) {
                if (!worker.running().isEmpty()) {
                    last = w.now() - told;
                    if (last > CANCEL_S + 0.1 && w.broken.isEmpty()) {
                        w.breakRule("ran_cancelled", "%s on %s %.1f s after the cancellation was confirmed",
                                worker.running(), worker.name, last);
                    }
                }
            }
            World.sleep(0.05);
        }
        w.finish(!w.broken.isEmpty(), String.format("the last task was on a machine until %.1f s after it", last));
    }
}
