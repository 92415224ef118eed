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

/**
 * Simulates byte streams between controllers. Bytes arrive in order with a latency of a few milliseconds; once some were
 * lost, nothing more arrives in that direction of the connection.
 */
final class SimulatedPeerNetwork {
    private static final Duration REFUSAL_DELAY = Duration.ofMillis(1);
    private static final int LATENCY_RANGE_MILLIS = 3;

    private final ClusterSimulator simulator;
    private final Map<String, Port> listening = new HashMap<>();
    private final List<Link> connections = new ArrayList<>();
    /** Directions, as {@code from>to}, in which nothing arrives. */
    final Set<String> oneWayCuts = new HashSet<>();

    /**
     * The network endpoint of one controller process.
     *
     * @param alive returns whether the process still runs
     * @param act runs an action in the process; later if the process is frozen, never if it has ended
     * @param accepted called with each accepted connection; null unless the endpoint listens
     */
    record Port(
            String node, BooleanSupplier alive, Consumer<Runnable> act, Consumer<PeerNetwork.Connection> accepted) {}

    SimulatedPeerNetwork(ClusterSimulator simulator) {
        this.simulator = simulator;
    }

    /** Returns the network for one process of a controller; see {@link Port} for the parameters. */
    PeerNetwork of(String node, BooleanSupplier alive, Consumer<Runnable> act) {
        return new ProcessNetwork(new Port(node, alive, act, null));
    }

    /** The network as used by one process. */
    private final class ProcessNetwork implements PeerNetwork {
        private final Port self;

        ProcessNetwork(Port self) {
            this.self = self;
        }

        @Override
        public void listen(String address, Consumer<Connection> accepted) {
            listening.put(address, new Port(self.node, self.alive, self.act, accepted));
        }

        @Override
        public void connect(String address, Duration timeout, Consumer<Connection> connected, Consumer<String> failed) {
            simulator.behaviour.peer(simulator.now, self.node, address, "connect", new byte[0]);
            Port other = listening.get(address);
            String target = address.substring(0, address.indexOf(':'));
            NetworkFaults.Cut cut = cutBetweenNodes(self.node, target);
            boolean listens = other != null && other.alive.getAsBoolean();
            if (cut == NetworkFaults.Cut.RESET || (cut == null && !listens)) {
                fail(REFUSAL_DELAY, failed, "refused");
            } else if (cut != null || isLost(self.node, target)) {
                fail(timeout, failed, "no answer in time");
            } else {
                open(self, other, connected);
            }
        }

        private void fail(Duration delay, Consumer<String> failed, String reason) {
            simulator.after(delay, () -> self.act.accept(() -> failed.accept(reason)));
        }
    }

    private void open(Port dialer, Port acceptor, Consumer<PeerNetwork.Connection> connected) {
        Link link = new Link();
        End here = new End(link, dialer);
        End there = new End(link, acceptor);
        here.peer = there;
        there.peer = here;
        link.ends = List.of(here, there);
        connections.add(link);
        there.run(() -> acceptor.accepted.accept(there));
        here.run(() -> connected.accept(here));
    }

    /** Returns the cut between two controllers, or null. */
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

    /**
     * Closes the connections of a process that has ended, as its operating system would. The other end does not notice if
     * a cut lies between them.
     */
    void ended(String node) {
        for (Link link : List.copyOf(connections)) {
            for (End end : link.ends) {
                if (end.port.node.equals(node) && !link.over) {
                    end.close();
                }
            }
        }
    }

    /** A connection; once it is closed nothing more arrives at either end. */
    private static final class Link {
        private boolean over;
        private List<End> ends;
    }

    /** One end of a connection. */
    private final class End implements PeerNetwork.Connection {
        private final Link link;
        private final Port port;
        private End peer;
        private Instant lastArrival = Instant.EPOCH;
        private boolean broken;
        private PeerNetwork.Receiver receiver;
        private final List<byte[]> early = new ArrayList<>();

        End(Link link, Port port) {
            this.link = link;
            this.port = port;
        }

        @Override
        public void send(ByteBuffer bytes) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            simulator.behaviour.peer(simulator.now, port.node, peer.port.node, "send", copy);
            toPeer(() -> peer.arrived(copy));
        }

        /** Delivers to the peer in order. A cut of any kind drops this delivery and all later ones in this direction. */
        private void toPeer(Runnable delivery) {
            NetworkFaults.Cut cut = cutBetweenNodes(port.node, peer.port.node);
            broken |= cut != null || oneWayCuts.contains(port.node + ">" + peer.port.node);
            if (broken) {
                return;
            }
            Instant at = simulator.now.plusMillis(1 + simulator.random.nextInt(LATENCY_RANGE_MILLIS));
            lastArrival = at.isAfter(lastArrival) ? at : lastArrival;
            simulator.after(Duration.between(simulator.now, lastArrival), () -> peer.run(delivery));
        }

        private void run(Runnable action) {
            if (port.alive.getAsBoolean()) {
                port.act.accept(action);
            }
        }

        private void arrived(byte[] bytes) {
            if (link.over) {
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
            if (link.over) {
                return;
            }
            simulator.behaviour.peer(simulator.now, port.node, peer.port.node, "close", new byte[0]);
            toPeer(() -> {
                if (!link.over) {
                    link.over = true;
                    connections.remove(link);
                    if (peer.receiver != null) {
                        peer.receiver.closed("closed by the other end");
                    }
                }
            });
            receiver = null;
        }
    }
}
