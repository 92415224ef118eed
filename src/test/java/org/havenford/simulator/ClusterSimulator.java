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
 * A deterministic discrete-event simulation in one thread: clock, event queue, network, state service, cloud, agents and
 * users, written from the published protocol, around the real controllers. The same seed gives the same run.
 */
public final class ClusterSimulator {
    /** A party that answers HTTP requests. */
    interface Server {
        void request(String method, String path, String body, Consumer<HttpCalls.Reply> answer);
    }

    /** Something that happens at a moment; events of the same moment happen in the order in which they were scheduled. */
    private record Event(Instant at, long order, Runnable task) {}

    final SplittableRandom random;
    Instant now = Instant.EPOCH;
    private long scheduledEvents;
    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::order));

    /** All that answers requests, by address. */
    final Map<String, Server> servers = new HashMap<>();
    /** The controllers by node name. */
    final Map<String, SimulatedController> nodes = new LinkedHashMap<>();

    private final Map<String, SimulatedController> controllersByAddress = new HashMap<>();
    final PlatformSettings template;
    final SimulatedNetwork network = new SimulatedNetwork(this);
    final SimulatedPeerNetwork peerNetwork = new SimulatedPeerNetwork(this);
    final SimulatedStore store;
    final SimulatedCloud cloud = new SimulatedCloud(this);
    final InvariantChecker rules = new InvariantChecker(this);
    final SimulatedUsers users = new SimulatedUsers(this);
    /** The agents by machine name. */
    final Map<String, SimulatedAgent> workers = new LinkedHashMap<>();
    /** Whether controllers have a standby, and which of them have none all the same. */
    boolean withStandby;

    final Set<String> withoutStandby = new HashSet<>();

    final List<String> log = new ArrayList<>();
    final BehaviourDigest behaviour = new BehaviourDigest();
    /** Where the agent of a machine is reached. */
    UnaryOperator<String> endpoints = machine -> machine + ":9000";

    /**
     * Creates a cluster without controllers and machines.
     *
     * @param template settings that hold for all controllers
     */
    ClusterSimulator(long seed, PlatformSettings template) {
        this.random = new SplittableRandom(seed);
        this.template = template;
        this.store = new SimulatedStore(this);
        servers.put(template.storeAddress(), store);
        servers.put(template.cloudAddress(), cloud);
    }

    /** Adds a line with the simulated time to the log of the run. */
    void note(String line) {
        log.add(String.format("%8.3f %s", seconds(), line));
    }

    /** The simulated time since the start of the run. */
    double seconds() {
        return Duration.between(Instant.EPOCH, now).toMillis() / 1e3;
    }

    private static Instant instantOf(double second) {
        return Instant.EPOCH.plusMillis((long) (second * 1000));
    }

    /** Schedules an event some time from now. */
    void after(Duration delay, Runnable task) {
        schedule(now.plus(delay), task);
    }

    /** Schedules an event at a second of the run. */
    void at(double second, Runnable task) {
        schedule(instantOf(second), task);
    }

    private void schedule(Instant at, Runnable task) {
        queue.add(new Event(at, scheduledEvents, task));
        scheduledEvents++;
    }

    /** Lets all events up to a second of the run happen, and checks the rules after each. */
    void runUntil(double second) {
        Instant end = instantOf(second);
        while (!queue.isEmpty() && !queue.peek().at.isAfter(end)) {
            Event event = queue.poll();
            now = event.at;
            event.task.run();
            rules.check();
        }
        now = end;
    }

    /** The controller in this process that is reached at an address, or null. */
    SimulatedController controllerAt(String address) {
        return controllersByAddress.get(address);
    }

    /** Adds and starts a controller of this version. */
    void addNode(PlatformSettings settings) {
        addNode(settings, null);
    }

    /** Adds and starts a controller, where {@code oldSettings} are given of the version before until it is upgraded. */
    void addNode(PlatformSettings settings, PlatformSettings oldSettings) {
        SimulatedController controller = new SimulatedController(this, settings, oldSettings);
        nodes.put(settings.node(), controller);
        controllersByAddress.put(settings.bind(), controller);
        network.faults.assignZone(settings.bind(), settings.zone());
        controller.start();
    }

    /** A controller that runs elsewhere: agents and users know its address. */
    void addRemoteNode(PlatformSettings settings) {
        nodes.put(settings.node(), new SimulatedController(this, settings, null));
    }
}
