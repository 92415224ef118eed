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
    private static final Duration HEARTBEAT_CHECK_INTERVAL = Duration.ofMillis(500);
    private static final Duration LEASE_CHECK_INTERVAL = Duration.ofMillis(200);
    /** Timeout of a heartbeat; a reply that is processed later is ignored. */
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(4);
    /** How long after a failed heartbeat the next one is due, at another controller. */
    private static final Duration HEARTBEAT_RETRY_DELAY = Duration.ofSeconds(1);

    /** One attempt of a task on the machine. */
    static final class Attempt {
        String taskId;
        long attempt;
        String status;
        String exitCause;

        /** Returns whether the attempt has its image and has not exited. */
        boolean isExecuting() {
            return status.equals("running") || status.equals("flushing");
        }

        boolean isExited() {
            return "exited".equals(status);
        }

        private JsonObject toJson() {
            JsonObject json = new JsonObject();
            json.addProperty("shot", taskId);
            json.addProperty("take", attempt);
            json.addProperty("status", status);
            if (exitCause != null) {
                json.addProperty("cause", exitCause);
            }
            return json;
        }
    }

    final ClusterSimulator simulator;
    final String name;
    final String type;
    final String zone;
    final boolean spot;
    long incarnation = 1;
    private long heartbeatSequence;
    long fencingToken;
    private final List<Instant> tokenRaiseTimes = new ArrayList<>();
    final Map<String, Attempt> tasks = new LinkedHashMap<>();
    private final SimulatedTaskExecutor executor;
    /** When the last heartbeat was sent whose reply renewed the lease. */
    private Instant leaseRenewedAt;

    /** Whether the machine has booted and was not terminated. */
    private boolean up;
    /** Whether the machine hangs: it sends nothing, and what it receives or executes is deferred until it resumes. */
    boolean hung;
    /** Seconds until the spot machine is reclaimed, as reported in heartbeats; null without such a notice. */
    Double spotNoticeSeconds;
    /** Whether every task that starts on this machine fails. */
    boolean faulty;
    /** Factor by which image pulls on this machine take longer. */
    double pullSlowdown = 1;

    private final List<Runnable> deferredActions = new ArrayList<>();
    /** Index of the controller that receives the heartbeats. */
    private int targetIndex;

    private boolean heartbeatInFlight;
    /** Whether the next heartbeat is sent without waiting for the heartbeat interval. */
    private boolean heartbeatDue;

    private Instant lastHeartbeatAt = Instant.EPOCH;

    SimulatedAgent(ClusterSimulator simulator, String name, String type, String zone, boolean spot) {
        this.simulator = simulator;
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.executor = new SimulatedTaskExecutor(simulator, this);
    }

    private String address() {
        return simulator.agentAddress.apply(name);
    }

    /** Starts the agent, which sends its heartbeats to a random controller at first. */
    void start() {
        up = true;
        leaseRenewedAt = simulator.now;
        targetIndex = simulator.random.nextInt(simulator.controllers.size());
        simulator.servers.put(address(), this);
        checkHeartbeat();
        checkLease();
    }

    /** Ends the machine and all tasks on it for good. */
    void terminate() {
        up = false;
        simulator.servers.remove(address());
        tasks.clear();
        simulator.invariants.machineChanged();
    }

    /** Returns whether the agent currently sends its heartbeats to this controller. */
    boolean reportsTo(String node) {
        return up && targetNode().equals(node);
    }

    private String targetNode() {
        return nodeNames().get(targetIndex);
    }

    private List<String> nodeNames() {
        return List.copyOf(simulator.controllers.keySet());
    }

    /** Returns when the agent first saw a higher fencing token at or after a second of the run, or {@link Instant#MAX}. */
    Instant firstTokenAfter(double second) {
        Instant from = Instant.EPOCH.plusMillis((long) (second * 1000));
        return tokenRaiseTimes.stream()
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
            endTasksIfLeaseExpired();
            List.copyOf(deferredActions).forEach(Runnable::run);
            deferredActions.clear();
        }
    }

    /** Runs an action, or defers it until the machine resumes if it hangs; does nothing if the machine is not up. */
    void runOrDefer(Runnable action) {
        if (!up) {
            return;
        }
        if (hung) {
            deferredActions.add(action);
        } else {
            action.run();
        }
    }

    private void checkLease() {
        simulator.after(LEASE_CHECK_INTERVAL, () -> {
            if (up) {
                if (!hung) {
                    endTasksIfLeaseExpired();
                }
                checkLease();
            }
        });
    }

    /**
     * Returns whether the lease has expired. Tasks of a hung machine with an expired lease no longer run, although they are
     * still listed: the machine executes nothing, and {@link #hang} ends them before it resumes.
     */
    boolean isLeaseExpired() {
        return simulator.now.isAfter(leaseRenewedAt.plus(simulator.commonSettings.agentLease()));
    }

    private void endTasksIfLeaseExpired() {
        if (isLeaseExpired()) {
            startIncarnation("lease over");
        }
    }

    /** Reboots the machine: it is back at once under a new incarnation, without its tasks. */
    void reboot() {
        startIncarnation("back after a moment");
    }

    /** Reboots the machine; the agent has also lost the highest fencing token and the sequence of its heartbeats. */
    void rebootWithoutMemory() {
        fencingToken = 0;
        heartbeatSequence = 0;
        startIncarnation("back after a moment, with nothing kept");
    }

    /** Restarts the agent within its incarnation; it has lost its tasks and the highest fencing token. */
    void restartWithinIncarnation() {
        fencingToken = 0;
        tasks.clear();
        heartbeatDue = true;
        simulator.invariants.machineChanged();
    }

    private void startIncarnation(String reason) {
        tasks.clear();
        incarnation++;
        leaseRenewedAt = simulator.now;
        heartbeatDue = true;
        simulator.invariants.machineChanged();
        simulator.logLine(name + " " + reason + ", session " + incarnation);
    }

    private void checkHeartbeat() {
        if (!up) {
            return;
        }
        simulator.after(HEARTBEAT_CHECK_INTERVAL, this::checkHeartbeat);
        Duration since = Duration.between(lastHeartbeatAt, simulator.now);
        if (!hung
                && !heartbeatInFlight
                && (heartbeatDue || since.compareTo(simulator.commonSettings.heartbeatInterval()) >= 0)) {
            sendHeartbeat();
        }
    }

    private void sendHeartbeat() {
        heartbeatInFlight = true;
        heartbeatDue = false;
        lastHeartbeatAt = simulator.now;
        Instant sent = simulator.now;
        long sentIncarnation = incarnation;
        simulator.network.call(
                address(),
                simulator.controllers.get(targetNode()).settings.bind(),
                new SimulatedNetwork.Request("POST", "/checkin", heartbeatBody(), HEARTBEAT_TIMEOUT),
                reply -> runOrDefer(() -> onHeartbeatReply(reply, sent, sentIncarnation)));
    }

    private void onHeartbeatReply(Reply reply, Instant sent, long sentIncarnation) {
        heartbeatInFlight = false;
        if (reply.status() == 200) {
            applyReply(JsonParser.parseString(reply.body()).getAsJsonObject(), sent, sentIncarnation);
        } else if (reply.status() != 421 || !followRedirect(reply)) {
            lastHeartbeatAt = simulator
                    .now
                    .minus(simulator.commonSettings.heartbeatInterval())
                    .plus(HEARTBEAT_RETRY_DELAY);
            targetIndex = (targetIndex + 1) % simulator.controllers.size();
        }
    }

    private void applyReply(JsonObject commands, Instant sent, long sentIncarnation) {
        if (sentIncarnation != incarnation
                || commands.get("baton").getAsLong() < fencingToken
                || Duration.between(sent, simulator.now).compareTo(HEARTBEAT_TIMEOUT) > 0) {
            return;
        }
        leaseRenewedAt = sent;
        executeCommands(commands);
    }

    /** Switches to the controller that a reply names; returns false if it names none, an unknown one or the current one. */
    private boolean followRedirect(Reply reply) {
        JsonObject json = JsonParser.parseString(reply.body()).getAsJsonObject();
        if (!json.has("director")) {
            return false;
        }
        int namedIndex = nodeNames().indexOf(json.get("director").getAsString());
        if (namedIndex < 0 || namedIndex == targetIndex) {
            return false;
        }
        targetIndex = namedIndex;
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
        json.addProperty("shift", incarnation);
        json.addProperty("tally", ++heartbeatSequence);
        json.addProperty("baton", fencingToken);
        if (spotNoticeSeconds != null) {
            json.addProperty("warningS", spotNoticeSeconds);
        }
        JsonArray reports = new JsonArray();
        tasks.values().forEach(attempt -> reports.add(attempt.toJson()));
        json.add("shots", reports);
        return json.toString();
    }

    @Override
    public void handle(String method, String path, String body, Consumer<Reply> callback) {
        runOrDefer(() -> {
            if (path.equals("/do")) {
                JsonObject json = JsonParser.parseString(body).getAsJsonObject();
                if (json.get("baton").getAsLong() < fencingToken
                        || json.get("shift").getAsLong() != incarnation) {
                    callback.accept(new Reply(409, heartbeatBody()));
                    return;
                }
                executeCommands(json);
            }
            callback.accept(new Reply(200, heartbeatBody()));
        });
    }

    private void executeCommands(JsonObject json) {
        if (json.get("baton").getAsLong() > fencingToken) {
            tokenRaiseTimes.add(simulator.now);
            fencingToken = json.get("baton").getAsLong();
            heartbeatDue = true;
        }
        for (JsonElement element : json.getAsJsonArray("cues")) {
            JsonObject command = element.getAsJsonObject();
            String taskId = command.get("shot").getAsString();
            long attempt = command.get("take").getAsLong();
            switch (command.get("cue").getAsString()) {
                case "run" -> executor.run(taskId, attempt);
                case "stop" -> executor.stop(taskId, attempt);
                default -> executor.forget(taskId, attempt);
            }
        }
    }

    /** Makes the next heartbeat due at once, because the state of a task has changed. */
    void requestHeartbeat() {
        heartbeatDue = true;
    }
}
