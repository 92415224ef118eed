package org.havenford.simulator;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.havenford.transport.PeerNetwork;

/** Byte streams between controllers: in order, late by a few milliseconds, and silent for good once a part was lost. */
final class SimulatedPeerNetwork {
    private final ClusterSimulator simulator;
    private final Map<String, Port> listening = new HashMap<>();
    private final List<Wire> wires = new ArrayList<>();
    /** Directions, as "from>to", in which nothing arrives. */
    final Set<String> oneWayCuts = new HashSet<>();

    /** Where one process takes part: its node, and how it does what comes in, which may be later or never. */
    record Port(
            String node, BooleanSupplier alive, Consumer<Runnable> act, Consumer<PeerNetwork.Connection> accepted) {}

    SimulatedPeerNetwork(ClusterSimulator simulator) {
        this.simulator = simulator;
    }

    /** The network as one life of a controller sees it. */
    PeerNetwork of(String node, BooleanSupplier alive, Consumer<Runnable> act) {
        return new PeerNetwork() {
            @Override
            public void listen(String address, Consumer<Connection> accepted) {
                listening.put(address, new Port(node, alive, act, accepted));
            }

            @Override
            public void connect(
                    String address, Duration timeout, Consumer<Connection> connected, Consumer<String> failed) {
                simulator.behaviour.peer(simulator.now, node, address, "connect", new byte[0]);
                Port self = new Port(node, alive, act, null);
                Port other = listening.get(address);
                String target = address.substring(0, address.indexOf(':'));
                NetworkFaults.Cut cut = cutBetweenNodes(node, target);
                if (cut == NetworkFaults.Cut.RESET || (cut == null && (other == null || !other.alive.getAsBoolean()))) {
                    simulator.after(Duration.ofMillis(1), () -> act.accept(() -> failed.accept("refused")));
                } else if (cut != null || isLost(node, target)) {
                    simulator.after(timeout, () -> act.accept(() -> failed.accept("no answer in time")));
                } else {
                    open(self, other, connected);
                }
            }
        };
    }

    private void open(Port dialer, Port acceptor, Consumer<PeerNetwork.Connection> connected) {
        Wire wire = new Wire();
        End here = new End(wire, dialer);
        End there = new End(wire, acceptor);
        here.peer = there;
        there.peer = here;
        wire.ends = List.of(here, there);
        wires.add(wire);
        there.run(() -> acceptor.accepted.accept(there));
        here.run(() -> connected.accept(here));
    }

    /** The cut on the way between two controllers, or null. */
    private NetworkFaults.Cut cutBetweenNodes(String node, String other) {
        if (!simulator.nodes.containsKey(node) || !simulator.nodes.containsKey(other)) {
            return null;
        }
        String address = simulator.nodes.get(node).settings.bind();
        return simulator.network.faults.cutBetween(
                address, simulator.nodes.get(other).settings.bind());
    }

    private boolean isLost(String from, String to) {
        return oneWayCuts.contains(from + ">" + to) || oneWayCuts.contains(to + ">" + from);
    }

    /** A process has ended: its connections are closed by its system, unless a cut keeps that from the other end. */
    void ended(String node) {
        for (Wire wire : List.copyOf(wires)) {
            for (End end : wire.ends) {
                if (end.port.node.equals(node) && !wire.over) {
                    end.close();
                }
            }
        }
    }

    private static final class Wire {
        private boolean over;
        private List<End> ends;
    }

    private final class End implements PeerNetwork.Connection {
        private final Wire wire;
        private final Port port;
        private End peer;
        private Instant lastArrival = Instant.EPOCH;
        private boolean broken;
        private PeerNetwork.Receiver receiver;
        private final List<byte[]> early = new ArrayList<>();

        End(Wire wire, Port port) {
            this.wire = wire;
            this.port = port;
        }

        @Override
        public void send(ByteBuffer bytes) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            simulator.behaviour.peer(simulator.now, port.node, peer.port.node, "send", copy);
            toPeer(() -> peer.arrived(copy));
        }

        /** Delivers in order; what a cut swallows is lost with all that follows on this connection. */
        private void toPeer(Runnable delivery) {
            NetworkFaults.Cut cut = cutBetweenNodes(port.node, peer.port.node);
            broken |= cut != null || oneWayCuts.contains(port.node + ">" + peer.port.node);
            if (broken) {
                return;
            }
            Instant at = simulator.now.plusMillis(1 + simulator.random.nextInt(3));
            lastArrival = at.isAfter(lastArrival) ? at : lastArrival;
            simulator.after(Duration.between(simulator.now, lastArrival), () -> peer.run(delivery));
        }

        private void run(Runnable what) {
            if (port.alive.getAsBoolean()) {
                port.act.accept(what);
            }
        }

        private void arrived(byte[] bytes) {
            if (wire.over) {
                return;
            }
            if (receiver == null) {
                early.add(bytes);
            } else {
                receiver.received(ByteBuffer.wrap(bytes));
            }
        }

        @Override
        public int pendingBytes() {
            return 0;
        }

        @Override
        public void receiver(PeerNetwork.Receiver newReceiver) {
            receiver = newReceiver;
            List<byte[]> waiting = List.copyOf(early);
            early.clear();
            waiting.forEach(bytes -> simulator.after(Duration.ZERO, () -> run(() -> arrived(bytes))));
        }

        @Override
        public void close() {
            if (wire.over) {
                return;
            }
            simulator.behaviour.peer(simulator.now, port.node, peer.port.node, "close", new byte[0]);
            toPeer(() -> {
                if (!wire.over) {
                    wire.over = true;
                    wires.remove(wire);
                    if (peer.receiver != null) {
                        peer.receiver.closed("closed by the other end");
                    }
                }
            });
            receiver = null;
        }
    }
}
