import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A machine with its worker, as the protocol describes it. */
final class Worker {
    private static final class Attempt {
        final String task;
        final long take;
        final Users.Job job;
        String status;
        String cause;

        Attempt(String task, long take, Users.Job job) {
            this.task = task;
            this.take = take;
            this.job = job;
        }
    }

    private final World world;
    private final Config config;
    private final Web web;
    private final Users users;
    private final Rules rules;
    private final Random random;
    final String name;
    final String zone;
    final boolean spot;
    private final List<String> nodes;
    /** The worker's own address as each controller sees it, so that each link can be cut apart. */
    private final Map<String, String> endpoints = new HashMap<>();
    private final Map<String, String> binds;
    private final Set<String> cutFrom = new HashSet<>();
    private final Map<String, Attempt> attempts = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Map<String, Double> fetches = new HashMap<>();
    private long shift = 1;
    private long tally;
    private long baton;
    private double leaseFrom;
    private int target;
    private boolean inFlight;
    private boolean changed;
    private double nextReport;
    private double lastReport = -10;
    private double lastTokenChange = -1e9;
    private boolean gone;

    Worker(World world, Config config, Web web, Users users, Rules rules, Map<String, String> binds, String name,
            String zone, boolean spot, int seed) throws IOException {
        this.world = world;
        this.config = config;
        this.web = web;
        this.users = users;
        this.rules = rules;
        this.binds = binds;
        this.name = name;
        this.zone = zone;
        this.spot = spot;
        this.random = new Random(seed);
        this.nodes = new ArrayList<>(binds.keySet());
        for (String node : nodes) {
            endpoints.put(node, web.serve((method, path, body) -> direct(node, path, body)));
        }
        leaseFrom = world.now();
        target = random.nextInt(nodes.size());
        nextReport = world.now() + random.nextDouble() * 0.5;
        world.every(0.05, this::step);
    }

    String anyEndpoint() {
        return endpoints.get(nodes.get(0));
    }

    /** The controller that this worker reports to now. */
    String targetNode() {
        return nodes.get(target);
    }

    /** Cuts the machine off from some controllers; packets are dropped both ways. */
    void cut(Set<String> from) {
        synchronized (world) {
            cutFrom.clear();
            cutFrom.addAll(from);
            world.record("network: %s is cut off from %s", name, from);
            world.notifyAll();
        }
    }

    /** Ends the machine with all that is on it. */
    void end(String why) {
        synchronized (world) {
            killAll(why);
            gone = true;
            world.notifyAll();
        }
    }

    boolean isGone() {
        return gone;
    }

    private void killAll(String why) {
        for (Attempt attempt : attempts.values()) {
            if (attempt.status.equals("running")) {
                rules.ended(this, attempt.job, attempt.task, attempt.take, why);
            }
            attempt.status = "killed";
        }
        attempts.clear();
    }

    private void step() {
        if (gone) {
            return;
        }
        if (world.now() - leaseFrom > config.leaseS) {
            world.record("WORKER %s: lease over, session %d begins", name, shift + 1);
            killAll("lease over");
            shift++;
            leaseFrom = world.now();
            changed = true;
        }
        boolean due = world.now() >= nextReport || (changed && world.now() >= lastReport + 0.5);
        if (due && !inFlight) {
            report();
        }
    }

    private void report() {
        inFlight = true;
        changed = false;
        lastReport = world.now();
        nextReport = world.now() + config.reportS * (0.75 + random.nextDouble() / 2);
        double sent = world.now();
        long sentShift = shift;
        String node = targetNode();
        if (cutFrom.contains(node)) {
            world.after(4, () -> answered(node, new Web.Reply(0, ""), sent, sentShift));
            return;
        }
        web.call(binds.get(node), "POST", "/checkin", report(node).toString(), 4).thenAccept(reply -> {
            synchronized (world) {
                answered(node, cutFrom.contains(node) ? new Web.Reply(0, "") : reply, sent, sentShift);
            }
        });
    }

    private JsonObject report(String node) {
        JsonObject json = new JsonObject();
        json.addProperty("box", name);
        json.addProperty("endpoint", endpoints.get(node));
        json.addProperty("rig", config.type);
        json.addProperty("hall", zone);
        json.addProperty("borrowed", spot);
        json.addProperty("shift", shift);
        json.addProperty("tally", ++tally);
        json.addProperty("baton", baton);
        JsonArray shots = new JsonArray();
        for (Attempt attempt : attempts.values()) {
            JsonObject shot = new JsonObject();
            shot.addProperty("shot", attempt.task);
            shot.addProperty("take", attempt.take);
            shot.addProperty("status", attempt.status);
            if (attempt.cause != null) {
                shot.addProperty("cause", attempt.cause);
            }
            shots.add(shot);
        }
        json.add("shots", shots);
        return json;
    }

    private void answered(String node, Web.Reply reply, double sent, long sentShift) {
        inFlight = false;
        world.record("REPORT %s to %s, sent %.3f: %d", name, node, sent, reply.status());
        if (gone) {
            return;
        }
        if (reply.status() == 200) {
            if (sentShift == shift && world.now() - sent <= 4) {
                JsonObject json = reply.json();
                if (json.has("baton") && Long.compareUnsigned(json.get("baton").getAsLong(), baton) >= 0) {
                    leaseFrom = Math.max(leaseFrom, sent);
                    execute(node, "answer", json);
                }
            }
            return;
        }
        if (reply.status() == 421) {
            JsonObject json = reply.body().isEmpty() ? new JsonObject() : reply.json();
            int named = json.has("director") && !json.get("director").isJsonNull()
                    ? nodes.indexOf(json.get("director").getAsString())
                    : -1;
            if (named >= 0 && named != target) {
                target = named;
                nextReport = world.now() + random.nextDouble() * 0.5;
                return;
            }
        }
        world.record("WORKER %s: %s answered %d, next controller", name, node, reply.status());
        target = (target + 1) % nodes.size();
        changed = false;
        nextReport = world.now() + 1;
    }

    private Web.Reply direct(String node, String path, String body) throws InterruptedException {
        synchronized (world) {
            while (cutFrom.contains(node) || gone) {
                world.wait();
                if (!cutFrom.contains(node)) {
                    return null;
                }
            }
            if (path.equals("/status")) {
                return new Web.Reply(200, report(node).toString());
            }
            JsonObject json = com.google.gson.JsonParser.parseString(body).getAsJsonObject();
            if (!json.has("baton") || !json.has("shift")) {
                return new Web.Reply(400, "{}");
            }
            if (Long.compareUnsigned(json.get("baton").getAsLong(), baton) < 0
                    || json.get("shift").getAsLong() != shift) {
                return new Web.Reply(409, report(node).toString());
            }
            execute(node, "/do", json);
            return new Web.Reply(200, report(node).toString());
        }
    }

    private void execute(String node, String way, JsonObject json) {
        long token = json.get("baton").getAsLong();
        if (Long.compareUnsigned(token, baton) > 0) {
            baton = token;
            if (world.now() >= lastTokenChange + config.leaseS / 2) {
                // A higher token counts as a change at most once in half of a lease.
                lastTokenChange = world.now();
                changed = true;
            }
        }
        for (JsonElement element : json.getAsJsonArray("cues")) {
            JsonObject cue = element.getAsJsonObject();
            String task = cue.get("shot").getAsString();
            long take = cue.get("take").getAsLong();
            String key = task + "#" + take;
            Attempt attempt = attempts.get(key);
            world.record("CUE %s to %s by %s: %s %s take %d", cue.get("cue").getAsString(), name, way, node, task, take);
            switch (cue.get("cue").getAsString()) {
                case "run" -> {
                    if (attempt == null) {
                        run(task, take, key);
                    }
                }
                case "stop" -> {
                    if (attempt != null && !attempt.status.equals("exited")) {
                        exit(attempt, "stopped");
                    }
                }
                default -> {
                    if (attempt != null && attempt.status.equals("exited")) {
                        attempts.remove(key);
                        changed = true;
                    }
                }
            }
        }
    }

    private void run(String task, long take, String key) {
        Users.Job job = users.jobOf(task);
        Attempt attempt = new Attempt(task, take, job);
        boolean busy = attempts.values().stream()
                .anyMatch(other -> other.task.equals(task) && !other.status.equals("exited"));
        double cpus = 0;
        double memGb = 0;
        for (Attempt other : attempts.values()) {
            if (!other.status.equals("exited")) {
                cpus += other.job.cpus;
                memGb += other.job.memGb;
            }
        }
        attempts.put(key, attempt);
        changed = true;
        if (job == null || busy) {
            refuse(attempt, job == null ? "unknown" : "busy");
        } else if (cpus + job.cpus > config.typeCpus + 1e-6 || memGb + job.memGb > config.typeMemGb + 1e-6) {
            refuse(attempt, "no_room");
        } else {
            attempt.status = "pulling";
            double ready = images.contains(job.image)
                    ? world.now()
                    : fetches.computeIfAbsent(job.image, image -> world.now() + job.imageGb / config.fetchGbPerS);
            world.after(Math.max(0.001, ready - world.now()), () -> begin(key, attempt));
        }
    }

    private static void refuse(Attempt attempt, String cause) {
        attempt.status = "exited";
        attempt.cause = cause;
    }

    private void begin(String key, Attempt attempt) {
        if (gone || attempts.get(key) != attempt || !attempt.status.equals("pulling")) {
            return;
        }
        images.add(attempt.job.image);
        attempt.status = "running";
        changed = true;
        rules.started(this, attempt.job, attempt.task, attempt.take);
        double seconds = attempt.job.completed.contains(attempt.task) ? 0.001 : attempt.job.runSeconds;
        world.after(seconds, () -> {
            if (!gone && attempts.get(key) == attempt && attempt.status.equals("running")) {
                attempt.job.completed.add(attempt.task);
                exit(attempt, "done");
            }
        });
    }

    private void exit(Attempt attempt, String cause) {
        if (attempt.status.equals("running")) {
            rules.ended(this, attempt.job, attempt.task, attempt.take, cause);
        }
        attempt.status = "exited";
        attempt.cause = cause;
        changed = true;
    }
}
