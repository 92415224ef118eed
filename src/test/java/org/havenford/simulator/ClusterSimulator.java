package org.havenford.simulator;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.havenford.controller.Controller;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.settings.StandbySettings;
import org.havenford.standby.WarmStandby;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;
import org.havenford.transport.HttpServer;
import org.havenford.transport.PeerNetwork;

/**
 * A deterministic world in one thread: clock, network, state service, cloud, workers and users, written from the
 * published protocol, around the real controllers. The same seed gives the same run.
 */
public final class ClusterSimulator {
    /** A way that messages between two ends are disturbed. */
    enum Cut {
        /** Messages vanish. */
        DROP,
        /** Connections are refused at once. */
        RESET,
        /** Messages are kept and delivered when the cut ends, however late. */
        HOLD
    }

    private record Event(Instant at, long order, Runnable task) {}

    /** A party that answers HTTP requests. */
    interface Server {
        void request(String method, String path, String body, Consumer<HttpCalls.Reply> answer);
    }

    final SplittableRandom random;
    Instant now = Instant.EPOCH;
    private long order;
    private final PriorityQueue<Event> queue = new PriorityQueue<>((a, b) -> {
        int c = a.at.compareTo(b.at);
        return c != 0 ? c : Long.compare(a.order, b.order);
    });
    final Map<String, Server> servers = new HashMap<>();
    private final Map<String, Cut> cuts = new HashMap<>();
    /** Machines that /do reaches this much later, and nodes that are told of changes this much later. */
    final Map<String, Duration> lateCommands = new HashMap<>();

    final Map<String, Duration> lateChanges = new HashMap<>();
    private final Map<String, List<Runnable>> held = new HashMap<>();
    /** Ends that nothing reaches, though all that they send arrives. */
    final Set<String> deaf = new HashSet<>();
    /** Milliseconds that a message may take on top of the usual few. */
    int slowLinks;
    /** Machines that reach nobody by themselves, though their answers to commands arrive. */
    final Set<String> mute = new HashSet<>();
    /** Controllers that the state service refuses alone; what their open watches would be told waits. */
    private final Map<String, List<Runnable>> refused = new HashMap<>();
    /** Machines whose reports arrive a second time, this much later. */
    final Map<String, Duration> copies = new HashMap<>();
    /** Controllers whose requests that change something are carried out a second time, this much later. */
    final Map<String, Duration> repeats = new HashMap<>();
    /** Calls of a controller to the state service that take this much longer, and how many of them. */
    final Map<String, Duration> slowCalls = new HashMap<>();

    final Map<String, Integer> slowCallsLeft = new HashMap<>();
    /** Zones that are cut off from all that is not in them. */
    private final Map<String, Cut> cutZones = new HashMap<>();

    private final Map<String, String> zoneOf = new HashMap<>();
    final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<String, Node> nodeAt = new HashMap<>();
    final SimulatedStore store;
    final SimulatedCloud cloud = new SimulatedCloud(this);
    final InvariantChecker rules = new InvariantChecker(this);
    final SimulatedUsers users = new SimulatedUsers(this);
    final Map<String, SimulatedAgent> workers = new LinkedHashMap<>();
    final PlatformSettings template;
    final SimulatedPeerNetwork wires = new SimulatedPeerNetwork(this);
    /** Whether controllers have a standby, and which of them have none all the same. */
    boolean withStandby;

    final Set<String> withoutStandby = new HashSet<>();

    final List<String> log = new ArrayList<>();
    final BehaviourDigest behaviour = new BehaviourDigest();
    /** Where the worker of a machine is reached. */
    UnaryOperator<String> endpoints = machine -> machine + ":9000";

    ClusterSimulator(long seed, PlatformSettings template) {
        this.random = new SplittableRandom(seed);
        this.template = template;
        this.store = new SimulatedStore(this);
        servers.put(template.storeAddress(), store);
        servers.put(template.cloudAddress(), cloud);
    }

    void note(String line) {
        log.add(String.format("%8.3f %s", seconds(), line));
    }

    double seconds() {
        return Duration.between(Instant.EPOCH, now).toMillis() / 1e3;
    }

    void after(Duration delay, Runnable task) {
        queue.add(new Event(now.plus(delay), order++, task));
    }

    void at(double second, Runnable task) {
        queue.add(new Event(Instant.EPOCH.plusMillis((long) (second * 1000)), order++, task));
    }

    void runUntil(double second) {
        Instant end = Instant.EPOCH.plusMillis((long) (second * 1000));
        while (!queue.isEmpty() && !queue.peek().at.isAfter(end)) {
            Event e = queue.poll();
            now = e.at;
            e.task.run();
            rules.check();
        }
        now = end;
    }

    // ---- network

    /** The cut on the way between two controllers, or null. */
    Cut cutBetweenNodes(String a, String b) {
        if (!nodes.containsKey(a) || !nodes.containsKey(b)) {
            return null;
        }
        String from = nodes.get(a).settings.bind();
        String to = nodes.get(b).settings.bind();
        String zone = cutBetween(from, to);
        return zone != null ? cutZones.get(zone) : cuts.get(link(from, to));
    }

    private static String link(String a, String b) {
        return a.compareTo(b) < 0 ? a + "~" + b : b + "~" + a;
    }

    void cut(String a, String b, Cut how) {
        cuts.put(link(a, b), how);
    }

    void heal(String a, String b) {
        cuts.remove(link(a, b));
        List<Runnable> late = held.remove(link(a, b));
        if (late != null) {
            late.forEach(r -> after(Duration.ofMillis(1), r));
        }
    }

    /** The state service refuses one controller alone; its leases run out, and its open watches wait. */
    void refuse(String node) {
        refused.put(node, new ArrayList<>());
    }

    void serve(String node) {
        List<Runnable> waiting = refused.remove(node);
        if (waiting != null) {
            waiting.forEach(r -> after(Duration.ofMillis(1), r));
        }
    }

    /** Says in which zone an end lies; users, cloud and state service lie in none. */
    void lies(String end, String zone) {
        zoneOf.put(end, zone);
    }

    void cutZone(String zone, Cut how) {
        cutZones.put(zone, how);
    }

    void healZone(String zone) {
        cutZones.remove(zone);
        List<Runnable> late = held.remove(zone);
        if (late != null) {
            late.forEach(r -> after(Duration.ofMillis(1), r));
        }
    }

    /** The zone whose cut lies between two ends. */
    private String cutBetween(String a, String b) {
        String one = zoneOf.get(a);
        String other = zoneOf.get(b);
        if (Objects.equals(one, other)) {
            return null;
        }
        return cutZones.containsKey(one) ? one : cutZones.containsKey(other) ? other : null;
    }

    /** Carries a message, or holds it or drops it as the link demands. */
    private void carry(String from, String to, Runnable delivery) {
        if (deaf.contains(to)) {
            return;
        }
        Node sender = nodeAt.get(from);
        if (sender != null && sender.mute) {
            sender.unsent.add(() -> carry(from, to, delivery));
            return;
        }
        String zone = cutBetween(from, to);
        Cut c = zone != null ? cutZones.get(zone) : cuts.get(link(from, to));
        if (c == Cut.HOLD) {
            held.computeIfAbsent(zone != null ? zone : link(from, to), k -> new ArrayList<>())
                    .add(delivery);
        } else if (c == null) {
            after(Duration.ofMillis(1 + random.nextInt(4 + slowLinks)), delivery);
        }
    }

    void call(
            String from,
            String to,
            String method,
            String path,
            String body,
            Duration timeout,
            Consumer<HttpCalls.Reply> done) {
        boolean[] over = {false};
        Consumer<HttpCalls.Reply> once = r -> {
            if (!over[0]) {
                over[0] = true;
                done.accept(r);
            }
        };
        after(timeout, () -> once.accept(new HttpCalls.Reply(HttpCalls.NO_ANSWER, "")));
        if (mute.contains(from)) {
            return;
        }
        boolean watch = path.startsWith("/changes");
        boolean toStore = to.equals(template.storeAddress());
        if (toStore && refused.containsKey(from) && !watch) {
            carry(to, from, () -> once.accept(new HttpCalls.Reply(503, "{\"error\":\"refused\"}")));
            return;
        }
        Duration late = path.startsWith("/do") ? lateCommands.get(to) : null;
        Duration lateAnswer = path.startsWith("/changes") ? lateChanges.get(from) : null;
        if (late != null) {
            after(late, () -> {
                Server s = servers.get(to);
                if (s != null) {
                    s.request(method, path, body, reply -> carry(to, from, () -> once.accept(reply)));
                }
            });
            return;
        }
        Duration copy = path.equals("/checkin") ? copies.get(from) : method.equals("POST") ? repeats.get(from) : null;
        if (copy != null) {
            after(copy, () -> {
                Server s = servers.get(to);
                if (s != null) {
                    s.request(method, path, body, reply -> {});
                }
            });
        }
        if (to.equals(template.storeAddress())
                && slowCallsLeft.getOrDefault(from, 0) > 0
                && !path.startsWith("/changes")) {
            slowCallsLeft.merge(from, -1, Integer::sum);
            after(slowCalls.get(from), () -> servers.get(to)
                    .request(method, path, body, reply -> carry(to, from, () -> once.accept(reply))));
            return;
        }
        if (cuts.get(link(from, to)) == Cut.RESET) {
            after(Duration.ofMillis(1), () -> once.accept(new HttpCalls.Reply(HttpCalls.NOT_SENT, "")));
            return;
        }
        carry(from, to, () -> {
            Server s = servers.get(to);
            if (s == null) {
                carry(to, from, () -> once.accept(new HttpCalls.Reply(HttpCalls.NOT_SENT, "")));
                return;
            }
            s.request(method, path, body, reply -> {
                Runnable delivery = () -> after(
                        lateAnswer == null ? Duration.ZERO : lateAnswer,
                        () -> carry(to, from, () -> once.accept(reply)));
                if (toStore && watch && refused.containsKey(from)) {
                    refused.get(from).add(delivery);
                } else {
                    delivery.run();
                }
            });
        });
    }

    // ---- controllers

    final class Node implements Server {
        final PlatformSettings settings;
        private Life life;
        /** It stands still: nothing that comes in or is due happens, and what it had queued has not gone out. */
        private boolean still;

        private boolean mute;
        private final List<Runnable> unsent = new ArrayList<>();
        private final List<Runnable> whileStill = new ArrayList<>();

        /** It runs the version before format 2, which knows nothing of limits to come. */
        private boolean old;

        private PlatformSettings oldSettings;

        Node(PlatformSettings settings) {
            this.settings = settings;
        }

        /** Its process is ended, and comes back with this version when it is started again. */
        void upgrade() {
            crash();
            old = false;
        }

        void start() {
            if (life != null) {
                return;
            }
            life = new Life();
            servers.put(settings.bind(), this);
            life.startStandby();
            life.controller.start();
            note("start " + settings.node());
        }

        void crash() {
            if (life == null) {
                return;
            }
            life.dead = true;
            life = null;
            wires.ended(settings.node());
            mute = false;
            still = false;
            unsent.clear();
            whileStill.clear();
            servers.remove(settings.bind());
            note("crash " + settings.node());
        }

        boolean alive() {
            return life != null;
        }

        /** For a moment before it stands still what it sends is only queued, as when it stops in the middle of a round. */
        void freeze() {
            mute = true;
            ClusterSimulator.this.after(Duration.ofMillis(300), () -> still = mute);
        }

        /** Its clocks have run on; all that it had queued, that is due and that came meanwhile happens now. */
        void thaw() {
            mute = false;
            still = false;
            List<Runnable> all = new ArrayList<>(unsent);
            all.addAll(whileStill);
            unsent.clear();
            whileStill.clear();
            all.forEach(Runnable::run);
        }

        private void act(Life of, Runnable what) {
            if (of.dead) {
                return;
            }
            if (still) {
                whileStill.add(() -> act(of, what));
            } else {
                what.run();
            }
        }

        @Override
        public void request(String method, String path, String body, Consumer<HttpCalls.Reply> answer) {
            Life served = life;
            if (served == null) {
                return;
            }
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            act(
                    served,
                    () -> served.controller.handle(new HttpServer.Request(method, path, bytes), r -> {
                        if (!served.dead) {
                            behaviour.answer(now, settings.node(), method, path, r.status(), r.body());
                            answer.accept(new HttpCalls.Reply(r.status(), r.body()));
                        }
                    }));
        }

        /** One run of the process; what it had scheduled dies with it, what it had sent does not. */
        private final class Life implements EventLoop, HttpCalls {
            private boolean dead;
            private final double drift = 1 + (random.nextDouble() - 0.5) * 0.001;
            private final Instant started = ClusterSimulator.this.now;
            private final boolean isOld = old;
            private final Controller controller =
                    new Controller(this, this, isOld ? oldSettings : settings, OperatorSettings.DEFAULTS);

            void startStandby() {
                if (withStandby && !isOld && !withoutStandby.contains(settings.node())) {
                    PeerNetwork network = wires.of(settings.node(), () -> !dead, what -> act(this, what));
                    new WarmStandby(controller.standbyHost(), network, settings, StandbySettings.OFF).start();
                }
            }

            @Override
            public Instant now() {
                return Instant.EPOCH.plusNanos((long)
                        (Duration.between(started, ClusterSimulator.this.now).toNanos() * drift));
            }

            @Override
            public Instant timeOfDay() {
                return ClusterSimulator.this.now.plusSeconds(1_700_000_000L);
            }

            @Override
            public void after(Duration delay, Runnable task) {
                ClusterSimulator.this.after(delay, () -> act(this, task));
            }

            @Override
            public void call(
                    String address, String method, String path, String body, Duration timeout, Consumer<Reply> done) {
                behaviour.request(ClusterSimulator.this.now, settings.node(), address, method, path, body);
                boolean translated = isOld && address.equals(template.storeAddress());
                String sent = translated && path.equals("/multi") ? FormatOneStandIn.written(body) : body;
                Consumer<Reply> heard = r ->
                        done.accept(translated ? FormatOneStandIn.read(ClusterSimulator.this, settings.node(), r) : r);
                ClusterSimulator.this.call(
                        settings.bind(), address, method, path, sent, timeout, r -> act(this, () -> heard.accept(r)));
            }
        }
    }

    void addNode(PlatformSettings s) {
        addNode(s, null);
    }

    /** A controller that runs elsewhere: workers and users know its address. */
    void addRemoteNode(PlatformSettings s) {
        nodes.put(s.node(), new Node(s));
    }

    /** A controller of this version or, where {@code oldSettings} are given, of the one before until it is upgraded. */
    void addNode(PlatformSettings s, PlatformSettings oldSettings) {
        Node n = new Node(s);
        n.old = oldSettings != null;
        n.oldSettings = oldSettings;
        nodes.put(s.node(), n);
        nodeAt.put(s.bind(), n);
        lies(s.bind(), s.zone());
        n.start();
    }
}
