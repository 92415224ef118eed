package org.havenford.simulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.havenford.transport.HttpCalls.Reply;

/** A stand-in for a worker: reports, obeys commands, keeps its lease, as the protocol says. */
final class SimulatedAgent implements ClusterSimulator.Server {
    static final class Task {
        String shot;
        long take;
        String status;
        String cause;
        long generation;

        /** The task has its image and has not ended. */
        boolean on() {
            return status.equals("running") || status.equals("flushing");
        }
    }

    final ClusterSimulator world;
    final String name;
    final String type;
    final String zone;
    final boolean spot;
    long session = 1;
    private long seq;
    long token;
    private final List<Instant> tokenRaisedAt = new ArrayList<>();
    final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private Instant lease;
    private boolean up;
    boolean hung;
    Double notice;
    /** Every task that starts here fails. */
    boolean faulty;
    /** Tasks started here fetch this many times as long. */
    double slowFetch = 1;

    private final List<Runnable> whileHung = new ArrayList<>();
    private int target;
    private boolean inFlight;
    private boolean changed;
    private Instant lastReport = Instant.EPOCH;
    private long generation;

    SimulatedAgent(ClusterSimulator world, String name, String type, String zone, boolean spot) {
        this.world = world;
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
    }

    private String address() {
        return world.endpoints.apply(name);
    }

    void start() {
        up = true;
        lease = world.now;
        target = world.random.nextInt(world.nodes.size());
        world.servers.put(address(), this);
        tick();
        checkLease();
    }

    void vanish() {
        up = false;
        world.servers.remove(address());
        tasks.clear();
        world.rules.touched();
    }

    boolean reportsTo(String node) {
        return up && List.copyOf(world.nodes.keySet()).get(target).equals(node);
    }

    /** When the worker first saw a higher token after a second of the day. */
    Instant firstTokenAfter(double second) {
        Instant from = Instant.EPOCH.plusMillis((long) (second * 1000));
        return tokenRaisedAt.stream()
                .filter(at -> !at.isBefore(from))
                .findFirst()
                .orElse(Instant.MAX);
    }

    boolean up() {
        return up;
    }

    void hang(boolean on) {
        hung = on;
        if (!on) {
            expireIfDue();
            List.copyOf(whileHung).forEach(Runnable::run);
            whileHung.clear();
        }
    }

    /** What a hanging machine does is done when it goes on. */
    private void act(Runnable r) {
        if (!up) {
            return;
        }
        if (hung) {
            whileHung.add(r);
        } else {
            r.run();
        }
    }

    private void checkLease() {
        world.after(Duration.ofMillis(200), () -> {
            if (up) {
                if (!hung) {
                    expireIfDue();
                }
                checkLease();
            }
        });
    }

    /** A hanging machine executes nothing, and what it held when its lease ran out is killed before it goes on. */
    boolean leaseOver() {
        return world.now.isAfter(lease.plus(world.template.agentLease()));
    }

    private void expireIfDue() {
        if (leaseOver()) {
            newSession("lease over");
        }
    }

    /** The machine starts over and is back at once; its tasks are gone. */
    void reboot() {
        newSession("back after a moment");
    }

    private void newSession(String why) {
        tasks.clear();
        session++;
        lease = world.now;
        changed = true;
        world.rules.touched();
        world.note(name + " " + why + ", session " + session);
    }

    private void tick() {
        if (!up) {
            return;
        }
        world.after(Duration.ofMillis(500), this::tick);
        Duration since = Duration.between(lastReport, world.now);
        if (!hung && !inFlight && (changed || since.compareTo(world.template.heartbeatInterval()) >= 0)) {
            report();
        }
    }

    private void report() {
        inFlight = true;
        changed = false;
        lastReport = world.now;
        Instant sent = world.now;
        long sentSession = session;
        String node = List.copyOf(world.nodes.keySet()).get(target);
        world.call(
                address(),
                world.nodes.get(node).settings.bind(),
                "POST",
                "/checkin",
                reportBody(),
                Duration.ofSeconds(4),
                r -> act(() -> answered(r, sent, sentSession)));
    }

    private void answered(Reply r, Instant sent, long sentSession) {
        inFlight = false;
        if (r.status() == 200) {
            JsonObject json = JsonParser.parseString(r.body()).getAsJsonObject();
            if (sentSession != session
                    || json.get("baton").getAsLong() < token
                    || Duration.between(sent, world.now).compareTo(Duration.ofSeconds(4)) > 0) {
                return;
            }
            lease = sent;
            obey(json);
            return;
        }
        if (r.status() == 421) {
            JsonObject json = JsonParser.parseString(r.body()).getAsJsonObject();
            int next = json.has("director")
                    ? List.copyOf(world.nodes.keySet())
                            .indexOf(json.get("director").getAsString())
                    : -1;
            if (next >= 0 && next != target) {
                target = next;
                changed = true;
                return;
            }
        }
        lastReport = world.now.minus(world.template.heartbeatInterval()).plusSeconds(1);
        target = (target + 1) % world.nodes.size();
    }

    private String reportBody() {
        JsonObject json = new JsonObject();
        json.addProperty("box", name);
        json.addProperty("endpoint", address());
        json.addProperty("rig", type);
        json.addProperty("hall", zone);
        json.addProperty("borrowed", spot);
        json.addProperty("shift", session);
        json.addProperty("tally", ++seq);
        json.addProperty("baton", token);
        if (notice != null) {
            json.addProperty("warningS", notice);
        }
        JsonArray a = new JsonArray();
        for (Task t : tasks.values()) {
            JsonObject e = new JsonObject();
            e.addProperty("shot", t.shot);
            e.addProperty("take", t.take);
            e.addProperty("status", t.status);
            if (t.cause != null) {
                e.addProperty("cause", t.cause);
            }
            a.add(e);
        }
        json.add("shots", a);
        return json.toString();
    }

    @Override
    public void request(String method, String path, String body, Consumer<Reply> answer) {
        act(() -> {
            if (path.equals("/do")) {
                JsonObject json = JsonParser.parseString(body).getAsJsonObject();
                if (json.get("baton").getAsLong() < token || json.get("shift").getAsLong() != session) {
                    answer.accept(new Reply(409, reportBody()));
                    return;
                }
                obey(json);
            }
            answer.accept(new Reply(200, reportBody()));
        });
    }

    private void obey(JsonObject json) {
        if (json.get("baton").getAsLong() > token) {
            tokenRaisedAt.add(world.now);
            token = json.get("baton").getAsLong();
            changed = true;
        }
        for (JsonElement e : json.getAsJsonArray("cues")) {
            JsonObject c = e.getAsJsonObject();
            String shot = c.get("shot").getAsString();
            long take = c.get("take").getAsLong();
            Task t = tasks.get(shot + "#" + take);
            switch (c.get("cue").getAsString()) {
                case "run" -> run(shot, take, t);
                case "stop" -> {
                    if (t != null && !t.status.equals("exited")) {
                        exit(t, "stopped");
                    }
                }
                default -> {
                    if (t != null && t.status.equals("exited")) {
                        tasks.remove(shot + "#" + take);
                    }
                }
            }
        }
    }

    private void run(String shot, long take, Task known) {
        if (known != null) {
            return;
        }
        changed = true;
        Task t = new Task();
        t.shot = shot;
        t.take = take;
        t.generation = ++generation;
        boolean busy = tasks.values().stream().anyMatch(x -> x.shot.equals(shot) && !x.status.equals("exited"));
        tasks.put(shot + "#" + take, t);
        SimulatedUsers.Job job = world.users.jobs.get(shot.substring(0, shot.indexOf('/')));
        if (busy || job == null) {
            t.status = "exited";
            t.cause = busy ? "busy" : "unknown";
            return;
        }
        double cpus = job.cpus
                + tasks.values().stream()
                        .filter(x -> x != t && !"exited".equals(x.status))
                        .mapToDouble(x -> world.users.jobs.get(x.shot.substring(0, x.shot.indexOf('/'))).cpus)
                        .sum();
        if (cpus > SimulatedCloud.TYPES.get(type)[0] + 1e-6) {
            t.status = "exited";
            t.cause = "no_room";
            return;
        }
        t.status = "pulling";
        Duration fetch = images.contains(job.image)
                ? Duration.ofMillis(1)
                : Duration.ofMillis((long) (1000 / SimulatedCloud.FETCH_GB_PER_S * job.imageGb * slowFetch));
        world.after(
                fetch,
                () -> act(() -> {
                    if (tasks.get(shot + "#" + take) == t && t.status.equals("pulling")) {
                        images.add(job.image);
                        t.status = "running";
                        changed = true;
                        world.rules.started(this, t);
                        Duration length =
                                world.users.finished.contains(shot) ? Duration.ofMillis(1) : job.run(world.random);
                        boolean fails = faulty || job.broken;
                        world.after(
                                fails ? Duration.ofSeconds(1) : length,
                                () -> act(() -> {
                                    if (tasks.get(shot + "#" + take) == t && t.status.equals("running")) {
                                        if (!fails) {
                                            world.users.finished.add(shot);
                                        }
                                        exit(t, fails ? "error" : "done");
                                    }
                                }));
                    }
                }));
    }

    private void exit(Task t, String cause) {
        t.status = "exited";
        t.cause = cause;
        changed = true;
        world.rules.touched();
    }
}
