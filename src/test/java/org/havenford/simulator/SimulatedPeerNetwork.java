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
    private final Map<String, Endpoint> listeners = new HashMap<>();
    private final List<SimulatedConnection> connections = new ArrayList<>();
    /** Directions, as {@code from>to}, in which nothing arrives. */
    final Set<String> oneWayCuts = new HashSet<>();

    /**
     * The network endpoint of one controller process.
     *
     * @param alive returns whether the process still runs
     * @param executor runs an action in the process; later if the process is frozen, never if it has ended
     * @param onAccept called with each accepted connection; null unless the endpoint listens
     */
    record Endpoint(
            String node,
            BooleanSupplier alive,
            Consumer<Runnable> executor,
            Consumer<PeerNetwork.Connection> onAccept) {}

    SimulatedPeerNetwork(ClusterSimulator simulator) {
        this.simulator = simulator;
    }

    /** Returns the network for one process of a controller; see {@link Endpoint} for the parameters. */
    PeerNetwork of(String node, BooleanSupplier alive, Consumer<Runnable> executor) {
        return new ProcessNetwork(new Endpoint(node, alive, executor, null));
    }

    /** The network as used by one process. */
    private final class ProcessNetwork implements PeerNetwork {
        private final Endpoint local;

        ProcessNetwork(Endpoint local) {
            this.local = local;
        }

        @Override
        public void listen(String address, Consumer<Connection> accepted) {
            listeners.put(address, new Endpoint(local.node, local.alive, local.executor, accepted));
        }

        @Override
        public void connect(String address, Duration timeout, Consumer<Connection> connected, Consumer<String> failed) {
            simulator.behaviour.peer(simulator.now, local.node, address, "connect", new byte[0]);
            Endpoint listener = listeners.get(address);
            String target = address.substring(0, address.indexOf(':'));
            NetworkFaults.Cut cut = cutBetweenNodes(local.node, target);
            boolean listens = listener != null && listener.alive.getAsBoolean();
            if (cut == NetworkFaults.Cut.RESET || (cut == null && !listens)) {
                fail(REFUSAL_DELAY, failed, "refused");
            } else if (cut != null || isCutOneWay(local.node, target)) {
                fail(timeout, failed, "no answer in time");
            } else {
                open(local, listener, connected);
            }
        }

        private void fail(Duration delay, Consumer<String> failed, String reason) {
            simulator.after(delay, () -> local.executor.accept(() -> failed.accept(reason)));
        }
    }

    private void open(Endpoint dialer, Endpoint acceptor, Consumer<PeerNetwork.Connection> connected) {
        SimulatedConnection connection = new SimulatedConnection();
        ConnectionEnd dialerEnd = new ConnectionEnd(connection, dialer);
        ConnectionEnd acceptorEnd = new ConnectionEnd(connection, acceptor);
        dialerEnd.peer = acceptorEnd;
        acceptorEnd.peer = dialerEnd;
        connection.ends = List.of(dialerEnd, acceptorEnd);
        connections.add(connection);
        acceptorEnd.run(() -> acceptor.onAccept.accept(acceptorEnd));
        dialerEnd.run(() -> connected.accept(dialerEnd));
    }

    /** Returns the cut between two controllers, or null. */
    private NetworkFaults.Cut cutBetweenNodes(String node, String other) {
        if (!simulator.controllers.containsKey(node) || !simulator.controllers.containsKey(other)) {
            return null;
        }
        String address = simulator.controllers.get(node).settings.bind();
        return simulator.network.faults.cutBetween(
                address, simulator.controllers.get(other).settings.bind());
    }

    private boolean isCutOneWay(String from, String to) {
        return oneWayCuts.contains(from + ">" + to) || oneWayCuts.contains(to + ">" + from);
    }

    /**
     * Closes the connections of a process that has ended, as its operating system would. The other end does not notice if
     * a cut lies between them.
     */
    void processEnded(String node) {
        for (SimulatedConnection connection : List.copyOf(connections)) {
            for (ConnectionEnd end : connection.ends) {
                if (end.endpoint.node.equals(node) && !connection.closed) {
                    end.close();
                }
            }
        }
    }

    /** A connection; once it is closed nothing more arrives at either end. */
    private static final class SimulatedConnection {
        private boolean closed;
        private List<ConnectionEnd> ends;
    }

    /** One end of a connection. */
    private final class ConnectionEnd implements PeerNetwork.Connection {
        private final SimulatedConnection connection;
        private final Endpoint endpoint;
        private ConnectionEnd peer;
        private Instant lastArrival = Instant.EPOCH;
        /** Whether a delivery from this end was dropped, so that nothing more reaches the peer. */
        private boolean stalled;

        private PeerNetwork.Receiver receiver;
        /** Chunks that arrived before a receiver was set. */
        private final List<byte[]> receivedEarly = new ArrayList<>();

        ConnectionEnd(SimulatedConnection connection, Endpoint endpoint) {
            this.connection = connection;
            this.endpoint = endpoint;
        }

        @Override
        public void send(ByteBuffer bytes) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            simulator.behaviour.peer(simulator.now, endpoint.node, peer.endpoint.node, "send", copy);
            deliverToPeer(() -> peer.onArrival(copy));
        }

        /** Delivers to the peer in order. A cut of any kind drops this delivery and all later ones in this direction. */
        private void deliverToPeer(Runnable delivery) {
            NetworkFaults.Cut cut = cutBetweenNodes(endpoint.node, peer.endpoint.node);
            stalled |= cut != null || oneWayCuts.contains(endpoint.node + ">" + peer.endpoint.node);
            if (stalled) {
                return;
            }
            Instant at = simulator.now.plusMillis(1 + simulator.random.nextInt(LATENCY_RANGE_MILLIS));
            lastArrival = at.isAfter(lastArrival) ? at : lastArrival;
            simulator.after(Duration.between(simulator.now, lastArrival), () -> peer.run(delivery));
        }

        private void run(Runnable action) {
            if (endpoint.alive.getAsBoolean()) {
                endpoint.executor.accept(action);
            }
        }

        private void onArrival(byte[] bytes) {
            if (connection.closed) {
                return;
            }
            if (receiver == null) {
                receivedEarly.add(bytes);
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
            List<byte[]> buffered = List.copyOf(receivedEarly);
            receivedEarly.clear();
            buffered.forEach(bytes -> simulator.after(Duration.ZERO, () -> run(() -> onArrival(bytes))));
        }

        @Override
        public void close() {
            if (connection.closed) {
                return;
            }
            simulator.behaviour.peer(simulator.now, endpoint.node, peer.endpoint.node, "close", new byte[0]);
            deliverToPeer(() -> {
                if (!connection.closed) {
                    connection.closed = true;
                    connections.remove(connection);
                    if (peer.receiver != null) {
                        peer.receiver.closed("closed by the other end");
                    }
                }
            });
            receiver = null;
        }
    }
}
