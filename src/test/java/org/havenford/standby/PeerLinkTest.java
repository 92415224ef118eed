package org.havenford.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.havenford.coordination.agents.AgentContact;
import org.havenford.settings.PlatformSettings;
import org.havenford.settings.StandbySettings;
import org.havenford.standby.FrameCodec.Frame;
import org.havenford.standby.PeerMessage.AgentContacts;
import org.havenford.standby.PeerMessage.Hello;
import org.havenford.standby.PeerMessage.SnapshotBegin;
import org.havenford.transport.PeerNetwork;
import org.junit.jupiter.api.Test;

/** Checks when a link closes its connection, when it suspects its peer, and what it sends over a new connection. */
class PeerLinkTest {
    private static final AgentContact CONTACT = new AgentContact("host-1", "10.0.0.1:9000", 1, 7, 42);

    private final FakeHost host = new FakeHost();
    private final FakeNetwork network = new FakeNetwork();
    private final DecisionLog decisions = new DecisionLog();
    private final PeerLink link = new PeerLink(
            host,
            network,
            new PlatformSettings.Peer("node-1", "b", "10.0.0.2:8081"),
            "node-0",
            StandbySettings.OFF,
            decisions,
            (from, message) -> {},
            () -> {});

    /** Connection that records the messages sent over it and can deliver messages of the peer. */
    private static final class FakeConnection implements PeerNetwork.Connection {
        private final List<PeerMessage> sent = new ArrayList<>();
        private PeerNetwork.Receiver receiver;
        private int pending;
        private boolean closed;
        private long sequence;

        @Override
        public void send(ByteBuffer bytes) {
            try {
                for (Frame frame : new FrameDecoder().feed(bytes)) {
                    sent.add(frame.message());
                }
            } catch (MalformedFrameException e) {
                throw new AssertionError(e);
            }
        }

        @Override
        public int pendingBytes() {
            return pending;
        }

        @Override
        public void receiver(PeerNetwork.Receiver newReceiver) {
            receiver = newReceiver;
        }

        @Override
        public void close() {
            closed = true;
        }

        void deliver(PeerMessage message) {
            receiver.received(FrameCodec.encode(message, sequence++));
        }
    }

    private static final class FakeNetwork implements PeerNetwork {
        private final List<FakeConnection> opened = new ArrayList<>();
        private boolean refusesConnections;

        @Override
        public void listen(String address, Consumer<Connection> accepted) {}

        @Override
        public void connect(String address, Duration timeout, Consumer<Connection> connected, Consumer<String> failed) {
            if (refusesConnections) {
                failed.accept("refused");
                return;
            }
            FakeConnection connection = new FakeConnection();
            opened.add(connection);
            connected.accept(connection);
        }

        FakeConnection lastOpened() {
            return opened.get(opened.size() - 1);
        }
    }

    private FakeConnection connect() {
        link.start();
        FakeConnection connection = network.lastOpened();
        connection.deliver(new Hello("node-1", 5));
        connection.deliver(new SnapshotBegin());
        return connection;
    }

    @Test
    void stateOfThePeerIsKeptAfterDisconnection() {
        FakeConnection connection = connect();
        connection.deliver(new AgentContacts(List.of(CONTACT)));
        network.refusesConnections = true;
        connection.receiver.closed("closed by the other end");
        assertEquals(List.of(CONTACT), link.follower().contacts());
        assertTrue(link.isSuspected(5), "the dial after the disconnection failed");
        assertFalse(link.isSuspected(6), "no message of this incarnation was received");
    }

    @Test
    void silentPeerIsSuspectedUntilResetAfterPause() {
        connect();
        assertFalse(link.isSuspected(5));
        host.loop.advance(Duration.ofMillis(900));
        assertTrue(link.isSuspected(5));
        link.resetFailureDetection();
        assertFalse(link.isSuspected(5));
    }

    @Test
    void frameOutOfSequenceClosesTheConnection() {
        FakeConnection connection = connect();
        connection.receiver.received(FrameCodec.encode(new AgentContacts(List.of(CONTACT)), 9));
        assertTrue(connection.closed);
        assertEquals(2, network.opened.size(), "the peer is dialed again");
    }

    @Test
    void olderIncarnationAndDifferentNameCloseTheConnection() {
        FakeConnection first = connect();
        first.deliver(new Hello("node-1", 4));
        assertTrue(first.closed);
        FakeConnection second = network.lastOpened();
        second.deliver(new Hello("node-2", 7));
        assertTrue(second.closed);
    }

    @Test
    void connectionIsClosedWhenTooManyBytesAreUnsent() {
        FakeConnection connection = connect();
        connection.pending = StandbySettings.OFF.bufferBytes() + 1;
        host.loop.advance(Duration.ofMillis(200));
        link.heartbeat();
        assertTrue(connection.closed);
    }

    @Test
    void newConnectionStartsWithSnapshotAndOpenDecisions() {
        FakeConnection first = connect();
        link.sendContacts(List.of(CONTACT));
        link.sendContacts(List.of(CONTACT));
        assertEquals(
                1,
                first.sent.stream().filter(m -> m instanceof AgentContacts).count(),
                "unchanged contacts are not sent again");
        long number = decisions.begin(List.of("live/job/j-1"));
        first.receiver.closed("closed by the other end");
        FakeConnection second = network.lastOpened();
        link.sendContacts(List.of(CONTACT));
        assertEquals(
                List.of(
                        new Hello("node-0", host.incarnation()),
                        new SnapshotBegin(),
                        new PeerMessage.Intent(number, List.of("live/job/j-1")),
                        new AgentContacts(List.of(CONTACT))),
                second.sent);
    }
}
