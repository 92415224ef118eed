package org.havenford.simulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.havenford.transport.HttpCalls.Reply;

/** A stand-in for the agent of a machine: sends heartbeats, obeys commands and keeps its lease, as the protocol says. */
final class SimulatedAgent implements ClusterSimulator.Server {
    private static final Duration TICK = Duration.ofMillis(500);
    private static final Duration LEASE_CHECK_INTERVAL = Duration.ofMillis(200);
    /** Answers to heartbeats that come later than this are ignored. */
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(4);
    /** How long after a heartbeat without an answer the next one is sent. */
    private static final Duration HEARTBEAT_RETRY_DELAY = Duration.ofSeconds(1);

    /** One attempt of a task. */
    static final class Task {
        String shot;
        long take;
        String status;
        String cause;

        /** The task has its image and has not ended. */
        boolean on() {
            return status.equals("running") || status.equals("flushing");
        }

        boolean isExited() {
            return "exited".equals(status);
        }

        private JsonObject json() {
            JsonObject json = new JsonObject();
            json.addProperty("shot", shot);
            json.addProperty("take", take);
            json.addProperty("status", status);
            if (cause != null) {
                json.addProperty("cause", cause);
            }
            return json;
        }
    }

    final ClusterSimulator simulator;
    final String name;
    final String type;
    final String zone;
    final boolean spot;
    long session = 1;
    private long heartbeatNumber;
    long token;
    private final List<Instant> tokenRaisedAt = new ArrayList<>();
    final Map<String, Task> tasks = new LinkedHashMap<>();
    private final SimulatedTaskExecutor executor;
    /** When the heartbeat was sent whose answer renewed the lease last. */
    private Instant leaseRenewed;

    private boolean up;
    boolean hung;
    Double notice;
    /** Every task that starts here fails. */
    boolean faulty;
    /** Tasks started here fetch this many times as long. */
    double slowFetch = 1;

    private final List<Runnable> whileHung = new ArrayList<>();
    /** Index of the controller that the heartbeats go to. */
    private int target;

    private boolean heartbeatInFlight;
    /** Whether the next heartbeat is due at once. */
    private boolean heartbeatDue;

    private Instant lastHeartbeat = Instant.EPOCH;

    SimulatedAgent(ClusterSimulator simulator, String name, String type, String zone, boolean spot) {
        this.simulator = simulator;
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.executor = new SimulatedTaskExecutor(simulator, this);
    }

    private String address() {
        return simulator.endpoints.apply(name);
    }

    void start() {
        up = true;
        leaseRenewed = simulator.now;
        target = simulator.random.nextInt(simulator.nodes.size());
        simulator.servers.put(address(), this);
        tick();
        checkLease();
    }

    /** The machine is gone with all its tasks. */
    void vanish() {
        up = false;
        simulator.servers.remove(address());
        tasks.clear();
        simulator.rules.touched();
    }

    /** Whether heartbeats go to this controller at the moment. */
    boolean reportsTo(String node) {
        return up && targetNode().equals(node);
    }

    private String targetNode() {
        return nodeNames().get(target);
    }

    private List<String> nodeNames() {
        return List.copyOf(simulator.nodes.keySet());
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

    /** Stops the machine for a while, or lets it go on. */
    void hang(boolean hangs) {
        hung = hangs;
        if (!hangs) {
            expireIfDue();
            List.copyOf(whileHung).forEach(Runnable::run);
            whileHung.clear();
        }
    }

    /** What a hanging machine does is done when it goes on. */
    void act(Runnable action) {
        if (!up) {
            return;
        }
        if (hung) {
            whileHung.add(action);
        } else {
            action.run();
        }
    }

    private void checkLease() {
        simulator.after(LEASE_CHECK_INTERVAL, () -> {
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
        return simulator.now.isAfter(leaseRenewed.plus(simulator.template.agentLease()));
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
        leaseRenewed = simulator.now;
        heartbeatDue = true;
        simulator.rules.touched();
        simulator.note(name + " " + why + ", session " + session);
    }

    private void tick() {
        if (!up) {
            return;
        }
        simulator.after(TICK, this::tick);
        Duration since = Duration.between(lastHeartbeat, simulator.now);
        if (!hung
                && !heartbeatInFlight
                && (heartbeatDue || since.compareTo(simulator.template.heartbeatInterval()) >= 0)) {
            sendHeartbeat();
        }
    }

    private void sendHeartbeat() {
        heartbeatInFlight = true;
        heartbeatDue = false;
        lastHeartbeat = simulator.now;
        Instant sent = simulator.now;
        long sentSession = session;
        simulator.network.call(
                address(),
                simulator.nodes.get(targetNode()).settings.bind(),
                new SimulatedNetwork.Request("POST", "/checkin", heartbeatBody(), HEARTBEAT_TIMEOUT),
                reply -> act(() -> answered(reply, sent, sentSession)));
    }

    private void answered(Reply reply, Instant sent, long sentSession) {
        heartbeatInFlight = false;
        if (reply.status() == 200) {
            accepted(JsonParser.parseString(reply.body()).getAsJsonObject(), sent, sentSession);
        } else if (reply.status() != 421 || !redirected(reply)) {
            lastHeartbeat =
                    simulator.now.minus(simulator.template.heartbeatInterval()).plus(HEARTBEAT_RETRY_DELAY);
            target = (target + 1) % simulator.nodes.size();
        }
    }

    private void accepted(JsonObject commands, Instant sent, long sentSession) {
        if (sentSession != session
                || commands.get("baton").getAsLong() < token
                || Duration.between(sent, simulator.now).compareTo(HEARTBEAT_TIMEOUT) > 0) {
            return;
        }
        leaseRenewed = sent;
        obey(commands);
    }

    /** Turns to the controller that an answer names, if it names another one. */
    private boolean redirected(Reply reply) {
        JsonObject json = JsonParser.parseString(reply.body()).getAsJsonObject();
        if (!json.has("director")) {
            return false;
        }
        int next = nodeNames().indexOf(json.get("director").getAsString());
        if (next < 0 || next == target) {
            return false;
        }
        target = next;
        heartbeatDue = true;
        return true;
    }

    private String heartbeatBody() {
        JsonObject json = new JsonObject();
        json.addProperty("box", name);
        json.addProperty("endpoint", address());
        json.addProperty("rig", type);
        json.addProperty("hall", zone);
        json.addProperty("borrowed", spot);
        json.addProperty("shift", session);
        json.addProperty("tally", ++heartbeatNumber);
        json.addProperty("baton", token);
        if (notice != null) {
            json.addProperty("warningS", notice);
        }
        JsonArray reports = new JsonArray();
        tasks.values().forEach(task -> reports.add(task.json()));
        json.add("shots", reports);
        return json.toString();
    }

    @Override
    public void request(String method, String path, String body, Consumer<Reply> answer) {
        act(() -> {
            if (path.equals("/do")) {
                JsonObject json = JsonParser.parseString(body).getAsJsonObject();
                if (json.get("baton").getAsLong() < token || json.get("shift").getAsLong() != session) {
                    answer.accept(new Reply(409, heartbeatBody()));
                    return;
                }
                obey(json);
            }
            answer.accept(new Reply(200, heartbeatBody()));
        });
    }

    private void obey(JsonObject json) {
        if (json.get("baton").getAsLong() > token) {
            tokenRaisedAt.add(simulator.now);
            token = json.get("baton").getAsLong();
            heartbeatDue = true;
        }
        for (JsonElement element : json.getAsJsonArray("cues")) {
            JsonObject command = element.getAsJsonObject();
            String shot = command.get("shot").getAsString();
            long take = command.get("take").getAsLong();
            switch (command.get("cue").getAsString()) {
                case "run" -> executor.run(shot, take);
                case "stop" -> executor.stop(shot, take);
                default -> executor.forget(shot, take);
            }
        }
    }

    /** The state of a task has changed: the next heartbeat is due at once. */
    void reportSoon() {
        heartbeatDue = true;
    }
}
