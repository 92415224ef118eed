package org.havenford.simulator;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.havenford.settings.PlatformSettings;
import org.havenford.transport.HttpCalls;

/**
 * A deterministic, single-threaded discrete-event simulation of a cluster. It simulates the clock, the network, the store,
 * the cloud, the agents and the users according to the published protocol, and runs the real controllers against them.
 * Runs with the same seed are identical.
 */
public final class ClusterSimulator {
    /** An endpoint that answers HTTP requests. */
    interface Server {
        void handle(String method, String path, String body, Consumer<HttpCalls.Reply> callback);
    }

    /** A scheduled event. Events scheduled for the same instant run in the order in which they were scheduled. */
    private record Event(Instant at, long order, Runnable task) {}

    final SplittableRandom random;
    Instant now = Instant.EPOCH;
    private long scheduledEvents;
    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::order));

    /** The HTTP endpoints by address. */
    final Map<String, Server> servers = new HashMap<>();
    /** The controllers by node name, in the order in which they were added. */
    final Map<String, SimulatedController> controllers = new LinkedHashMap<>();

    private final Map<String, SimulatedController> controllersByAddress = new HashMap<>();
    final PlatformSettings commonSettings;
    final SimulatedNetwork network = new SimulatedNetwork(this);
    final SimulatedPeerNetwork peerNetwork = new SimulatedPeerNetwork(this);
    final SimulatedStore store;
    final SimulatedCloud cloud = new SimulatedCloud(this);
    final InvariantChecker invariants = new InvariantChecker(this);
    final SimulatedUsers users = new SimulatedUsers(this);
    /** The agents by machine name. */
    final Map<String, SimulatedAgent> agents = new LinkedHashMap<>();
    /** Whether controllers run a warm standby, except those in {@link #withoutStandby}. */
    boolean withStandby;

    /** The names of controllers that run no standby even if {@link #withStandby} is set. */
    final Set<String> withoutStandby = new HashSet<>();

    final List<String> log = new ArrayList<>();
    final BehaviourDigest behaviour = new BehaviourDigest();
    /** Returns the address of the agent on the machine with a given name. */
    UnaryOperator<String> agentAddress = machine -> machine + ":9000";

    /**
     * Creates a cluster without controllers and machines.
     *
     * @param commonSettings the settings that are the same for all controllers, such as addresses, teams and limits
     */
    ClusterSimulator(long seed, PlatformSettings commonSettings) {
        this.random = new SplittableRandom(seed);
        this.commonSettings = commonSettings;
        this.store = new SimulatedStore(this);
        servers.put(commonSettings.storeAddress(), store);
        servers.put(commonSettings.cloudAddress(), cloud);
    }

    /** Appends a line to the log of the run, prefixed with the simulated time. */
    void logLine(String line) {
        log.add(String.format("%8.3f %s", seconds(), line));
    }

    /** Returns the simulated time since the start of the run, in seconds. */
    double seconds() {
        return Duration.between(Instant.EPOCH, now).toMillis() / 1e3;
    }

    private static Instant instantOf(double second) {
        return Instant.EPOCH.plusMillis((long) (second * 1000));
    }

    /** Schedules a task after a delay from the current simulated time. */
    void after(Duration delay, Runnable task) {
        schedule(now.plus(delay), task);
    }

    /** Schedules a task at a simulated time, in seconds since the start of the run. */
    void at(double second, Runnable task) {
        schedule(instantOf(second), task);
    }

    private void schedule(Instant at, Runnable task) {
        queue.add(new Event(at, scheduledEvents, task));
        scheduledEvents++;
    }

    /** Runs all events up to a simulated time, in seconds, and checks the invariants after each of them. */
    void runUntil(double second) {
        Instant end = instantOf(second);
        while (!queue.isEmpty() && !queue.peek().at.isAfter(end)) {
            Event event = queue.poll();
            now = event.at;
            event.task.run();
            invariants.check();
        }
        now = end;
    }

    /** Returns the simulated controller with an address, or null if no controller of this process has it. */
    SimulatedController controllerAt(String address) {
        return controllersByAddress.get(address);
    }

    /** Adds and starts a controller of the current version. */
    void addController(PlatformSettings settings) {
        addController(settings, null);
    }

    /**
     * Adds and starts a controller.
     *
     * @param oldSettings if not null, the controller runs the version before format 2 with these settings until it is
     *     upgraded
     */
    void addController(PlatformSettings settings, PlatformSettings oldSettings) {
        SimulatedController controller = new SimulatedController(this, settings, oldSettings);
        controllers.put(settings.node(), controller);
        controllersByAddress.put(settings.bind(), controller);
        network.faults.assignZone(settings.bind(), settings.zone());
        controller.start();
    }

    /** Registers a controller that runs in another process, so that agents and users have its address. */
    void addRemoteController(PlatformSettings settings) {
        controllers.put(settings.node(), new SimulatedController(this, settings, null));
    }
}
