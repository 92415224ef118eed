package second;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A controller ends and is back within a fraction of a second; its zone is then cut off from everything, and a repeat
 * of the registration of its former life, which had been carried out, reaches the state service while the lease of that
 * life still runs.
 */
public final class FormerLife {
    private static final double CUT_S = 51;

    public static void main(String[] args) {
        World.guard(() -> play(args[0]));
    }

    private static void play(String folder) throws Exception {
        World w = new World(folder);
        String mode = World.trouble() ? System.getenv().getOrDefault("TROUBLE", "1") : "0";
        Map<Integer, String> registrations = new ConcurrentHashMap<>();
        Map<Integer, Double> compared = new ConcurrentHashMap<>();
        w.start();
        w.store.filter = (node, body) -> {
            if (body.contains("\"set\":\"live/member/" + w.node[node].name + "\"")) {
                registrations.putIfAbsent(node, body);
            } else if (body.contains("live/view") && body.contains("\"writes\":[]")) {
                compared.put(node, w.now());
            }
            return true;
        };
        w.awaitReady(20);
        w.sleepUntil(8);
        JsonObject job = World.job("j-000001", "slowmo", 16, 8, 22);
        w.runSeconds.put("j-000001", 80.0);
        World.Answer answer = w.submit(job, 0);
        w.note("submission of j-000001: %d %s", answer.status(), answer.body());
        w.sleepUntil(14);

        // The controller with tasks on machines of its own zone that report to it.
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
        int node = x;
        String zone = w.node[x].zone;
        for (Worker worker : held) {
            w.note("%s in %s reports to %s and runs %s", worker.name, zone, w.node[x].name, worker.running());
        }
        boolean crash = !mode.equals("0") && !mode.equals("cut");
        boolean cut = !mode.equals("0") && !mode.equals("crash");
        if (crash) {
            // It ends just after a renewal of its lease.
            double renewed = w.store.touchedAt.get(x);
            while (w.store.touchedAt.get(x) == renewed) {
                World.sleep(0.01);
            }
            World.sleep(0.05);
        }
        long formerLease = w.store.touched.get(x);
        String copy = registrations.get(x);
        if (crash) {
            w.node[x].kill();
            World.sleep(0.3);
            w.node[x].start();
            while (w.store.touched.get(x) == formerLease && w.store.left(formerLease) > 0) {
                World.sleep(0.01);
            }
            w.note("%s is back; the lease of its former life has %.2f s left", w.node[x].name,
                    w.store.left(formerLease));
        }
        while (crash && w.store.left(formerLease) > 1.2) {
            World.sleep(0.01);
        }
        double before = compared.getOrDefault(x, 0.0);
        while (crash && compared.getOrDefault(node, 0.0) == before && w.store.left(formerLease) > 0.4) {
            World.sleep(0.01);
        }
        double cutAt = w.now();
        if (cut) {
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
        if (crash) {
            World.sleep(0.1);
            JsonObject json = JsonParser.parseString(copy).getAsJsonObject();
            String[] result = w.store.multi(json, copy.length());
            w.note("a repeat of the first registration of %s is carried out: %s %s", w.node[x].name, copy, result[0]);
            if (!result[0].equals("200")) {
                w.cannotRun("the lease of the former life was over");
            }
        }
        while (w.now() < cutAt + CUT_S && w.broken.isEmpty()) {
            World.sleep(0.2);
        }
        // The record also shows when the tasks that were on two machines end on the first one.
        double shown = w.now() + 8;
        while (!w.broken.isEmpty() && w.now() < shown && held.stream().anyMatch(worker -> !worker.running().isEmpty())) {
            World.sleep(0.1);
        }
        w.finish(
                !w.broken.isEmpty(),
                w.broken.isEmpty() ? "no task was on two machines" : w.broken.get(0) + ", and " + (w.broken.size() - 1)
                        + " more");
    }
}
