package org.havenford.simulator;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.havenford.controller.Controller;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.settings.StandbySettings;
import org.havenford.standby.WarmStandby;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;
import org.havenford.transport.HttpServer;
import org.havenford.transport.PeerNetwork;

/** A real controller in the simulation, in a process that can be started, crashed, paused and upgraded. */
final class SimulatedController implements ClusterSimulator.Server {
    /** How long a process keeps running before it freezes; HTTP messages that it sends in this time are queued. */
    private static final Duration FREEZE_DELAY = Duration.ofMillis(300);
    /** The width of the range of clock rates: a monotonic clock runs at most half of this fraction too fast or too slow. */
    private static final double CLOCK_RATE_RANGE = 0.001;

    private static final long TIME_OF_DAY_OFFSET_SECONDS = 1_700_000_000L;

    private final ClusterSimulator simulator;
    final PlatformSettings settings;
    /** The settings of the version before format 2; null for a controller that never ran it. */
    private final PlatformSettings formatOneSettings;
    /** Whether the next process runs the version before format 2, which ignores announced limits of the store. */
    private boolean runsFormatOne;

    /** The running process; null while the controller is down. */
    private ProcessInstance process;
    /** Whether the process is suspended: incoming messages and due tasks are deferred until it resumes. */
    private boolean frozen;
    /** Whether outgoing HTTP messages are queued instead of sent; set shortly before the process is suspended. */
    private boolean queuesMessages;

    private final List<Runnable> queuedMessages = new ArrayList<>();
    private final List<Runnable> deferredActions = new ArrayList<>();

    /**
     * Creates a controller that is not started.
     *
     * @param formatOneSettings if not null, the controller runs the version before format 2 with these settings until it
     *     is upgraded
     */
    SimulatedController(ClusterSimulator simulator, PlatformSettings settings, PlatformSettings formatOneSettings) {
        this.simulator = simulator;
        this.settings = settings;
        this.formatOneSettings = formatOneSettings;
        this.runsFormatOne = formatOneSettings != null;
    }

    /** Ends the process; the next start runs the current version. */
    void upgrade() {
        crash();
        runsFormatOne = false;
    }

    /** Starts the process unless it is running. */
    void start() {
        if (process != null) {
            return;
        }
        process = new ProcessInstance();
        simulator.servers.put(settings.bind(), this);
        process.startStandby();
        process.controller.start();
        simulator.logLine("start " + settings.node());
    }

    /** Ends the process at once, with all its queued messages and deferred actions, as SIGKILL does. */
    void crash() {
        if (process == null) {
            return;
        }
        process.ended = true;
        process = null;
        simulator.peerNetwork.processEnded(settings.node());
        queuesMessages = false;
        frozen = false;
        queuedMessages.clear();
        deferredActions.clear();
        simulator.servers.remove(settings.bind());
        simulator.logLine("crash " + settings.node());
    }

    /**
     * Pauses the process after a short delay. HTTP messages sent during the delay are queued until the process resumes, as
     * if it had been paused in the middle of a round.
     */
    void pauseProcess() {
        queuesMessages = true;
        simulator.after(FREEZE_DELAY, () -> frozen = queuesMessages);
    }

    /**
     * Resumes the process: sends the queued messages, then runs the tasks that became due and handles the messages that
     * arrived meanwhile. The clocks have advanced during the pause.
     */
    void resumeProcess() {
        queuesMessages = false;
        frozen = false;
        List<Runnable> pending = new ArrayList<>(queuedMessages);
        pending.addAll(deferredActions);
        queuedMessages.clear();
        deferredActions.clear();
        pending.forEach(Runnable::run);
    }

    /** Queues an outgoing message if the process is frozen or about to freeze. Returns whether the message was queued. */
    boolean queueIfFrozen(Runnable message) {
        if (queuesMessages) {
            queuedMessages.add(message);
        }
        return queuesMessages;
    }

    /** Runs an action of a process, or defers it while the process is frozen; drops it if the process has ended. */
    private void runOrDefer(ProcessInstance target, Runnable action) {
        if (target.ended) {
            return;
        }
        if (frozen) {
            deferredActions.add(() -> runOrDefer(target, action));
        } else {
            action.run();
        }
    }

    @Override
    public void handle(String method, String path, String body, Consumer<HttpCalls.Reply> callback) {
        ProcessInstance served = process;
        if (served == null) {
            return;
        }
        byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        HttpServer.Request request = new HttpServer.Request(method, path, bytes);
        runOrDefer(
                served,
                () -> served.controller.handle(request, reply -> {
                    if (!served.ended) {
                        simulator.behaviour.answer(
                                simulator.now, settings.node(), method, path, reply.status(), reply.body());
                        callback.accept(new HttpCalls.Reply(reply.status(), reply.body()));
                    }
                }));
    }

    /**
     * One process of the controller, from start to crash. Its scheduled tasks are dropped when it ends; messages that it has
     * sent are still delivered.
     */
    private final class ProcessInstance implements EventLoop, HttpCalls {
        private boolean ended;
        private final double clockRate = 1 + (simulator.random.nextDouble() - 0.5) * CLOCK_RATE_RANGE;
        private final Instant startedAt = simulator.now;
        private final boolean startedWithFormatOne = runsFormatOne;
        private final Controller controller = new Controller(
                this, this, startedWithFormatOne ? formatOneSettings : settings, OperatorSettings.DEFAULTS);

        void startStandby() {
            if (simulator.withStandby && !startedWithFormatOne && !simulator.withoutStandby.contains(settings.node())) {
                PeerNetwork network =
                        simulator.peerNetwork.of(settings.node(), () -> !ended, action -> runOrDefer(this, action));
                new WarmStandby(controller.standbyHost(), network, settings, StandbySettings.OFF).start();
            }
        }

        @Override
        public Instant now() {
            return Instant.EPOCH.plusNanos(
                    (long) (Duration.between(startedAt, simulator.now).toNanos() * clockRate));
        }

        @Override
        public Instant timeOfDay() {
            return simulator.now.plusSeconds(TIME_OF_DAY_OFFSET_SECONDS);
        }

        @Override
        public void after(Duration delay, Runnable task) {
            simulator.after(delay, () -> runOrDefer(this, task));
        }

        @Override
        public void call(
                String address, String method, String path, String body, Duration timeout, Consumer<Reply> done) {
            simulator.behaviour.request(simulator.now, settings.node(), address, method, path, body);
            boolean translated = startedWithFormatOne && address.equals(simulator.commonSettings.storeAddress());
            String sent = translated && path.equals("/multi") ? FormatOneStandIn.written(body) : body;
            Consumer<Reply> received =
                    reply -> done.accept(translated ? FormatOneStandIn.read(simulator, settings.node(), reply) : reply);
            simulator.network.call(
                    settings.bind(),
                    address,
                    new SimulatedNetwork.Request(method, path, sent, timeout),
                    reply -> runOrDefer(this, () -> received.accept(reply)));
        }
    }
}
