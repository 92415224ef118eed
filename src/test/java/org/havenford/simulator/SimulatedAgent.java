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

/** Simulates a machine and its agent, which sends heartbeats, executes commands and ends all tasks if its lease expires. */
final class SimulatedAgent implements ClusterSimulator.Server {
    private static final Duration TICK = Duration.ofMillis(500);
    private static final Duration LEASE_CHECK_INTERVAL = Duration.ofMillis(200);
    /** Timeout of a heartbeat; a reply that is processed later is ignored. */
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(4);
    /** How long after a failed heartbeat the next one is due, at another controller. */
    private static final Duration HEARTBEAT_RETRY_DELAY = Duration.ofSeconds(1);

    /** One attempt of a task on the machine; the fields are named as in the protocol. */
    static final class Task {
        String shot;
        long take;
        String status;
        String cause;

        /** Returns whether the attempt has its image and has not exited. */
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
    /** When the last heartbeat was sent whose reply renewed the lease. */
    private Instant leaseRenewed;

    /** Whether the machine has booted and was not terminated. */
    private boolean up;
    /** Whether the machine hangs: it sends nothing, and what it receives or executes is deferred until it resumes. */
    boolean hung;
    /** Seconds until the spot machine is reclaimed, as reported in heartbeats; null without such a notice. */
    Double notice;
    /** Whether every task that starts on this machine fails. */
    boolean faulty;
    /** Factor by which image pulls on this machine take longer. */
    double slowFetch = 1;

    private final List<Runnable> whileHung = new ArrayList<>();
    /** Index of the controller that receives the heartbeats. */
    private int target;

    private boolean heartbeatInFlight;
    /** Whether the next heartbeat is sent without waiting for the heartbeat interval. */
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

    /** Starts the agent, which sends its heartbeats to a random controller at first. */
    void start() {
        up = true;
        leaseRenewed = simulator.now;
        target = simulator.random.nextInt(simulator.nodes.size());
        simulator.servers.put(address(), this);
        tick();
        checkLease();
    }

    /** Ends the machine and all tasks on it for good. */
    void vanish() {
        up = false;
        simulator.servers.remove(address());
        tasks.clear();
        simulator.rules.touched();
    }

    /** Returns whether the agent currently sends its heartbeats to this controller. */
    boolean reportsTo(String node) {
        return up && targetNode().equals(node);
    }

    private String targetNode() {
        return nodeNames().get(target);
    }

    private List<String> nodeNames() {
        return List.copyOf(simulator.nodes.keySet());
    }

    /** Returns when the agent first saw a higher fencing token at or after a second of the run, or {@link Instant#MAX}. */
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

    /** Suspends or resumes the machine. On resumption, an expired lease ends its tasks before the deferred actions run. */
    void hang(boolean hangs) {
        hung = hangs;
        if (!hangs) {
            expireIfDue();
            List.copyOf(whileHung).forEach(Runnable::run);
            whileHung.clear();
        }
    }

    /** Runs an action, or defers it until the machine resumes if it hangs; does nothing if the machine is not up. */
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

    /**
     * Returns whether the lease has expired. Tasks of a hung machine with an expired lease no longer run, although they are
     * still listed: the machine executes nothing, and {@link #hang} ends them before it resumes.
     */
    boolean leaseOver() {
        return simulator.now.isAfter(leaseRenewed.plus(simulator.template.agentLease()));
    }

    private void expireIfDue() {
        if (leaseOver()) {
            newSession("lease over");
        }
    }

    /** Reboots the machine: it is back at once under a new incarnation, without its tasks. */
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

    /** Switches to the controller that a reply names; returns false if it names none, an unknown one or the current one. */
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

    /** Makes the next heartbeat due at once, because the state of a task has changed. */
    void reportSoon() {
        heartbeatDue = true;
    }
}
