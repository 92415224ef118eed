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

/** One end of a connection: what comes badly ends it, what the other end does not take ends it, and a new one starts afresh. */
class PeerLinkTest {
    private static final AgentContact NOTE = new AgentContact("host-1", "10.0.0.1:9000", 1, 7, 42);

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

    /** The other end, which keeps what it was sent. */
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

        void says(PeerMessage message) {
            receiver.received(FrameCodec.encode(message, sequence++));
        }
    }

    private static final class FakeNetwork implements PeerNetwork {
        private final List<FakeConnection> opened = new ArrayList<>();
        private boolean refuses;

        @Override
        public void listen(String address, Consumer<Connection> accepted) {}

        @Override
        public void connect(String address, Duration timeout, Consumer<Connection> connected, Consumer<String> failed) {
            if (refuses) {
                failed.accept("refused");
                return;
            }
            FakeConnection connection = new FakeConnection();
            opened.add(connection);
            connected.accept(connection);
        }

        FakeConnection last() {
            return opened.get(opened.size() - 1);
        }
    }

    private FakeConnection connected() {
        link.start();
        FakeConnection connection = network.last();
        connection.says(new Hello("node-1", 5));
        connection.says(new SnapshotBegin());
        return connection;
    }

    @Test
    void whatThePeerTellsIsKeptAlsoWhenItHasEnded() {
        FakeConnection connection = connected();
        connection.says(new AgentContacts(List.of(NOTE)));
        network.refuses = true;
        connection.receiver.closed("closed by the other end");
        assertEquals(List.of(NOTE), link.follower().contacts());
        assertTrue(link.isSuspected(5), "a peer that has ended refuses connections");
        assertFalse(link.isSuspected(6), "another life of it was never heard");
    }

    @Test
    void silenceIsSuspectedAndForgivenAfterAPauseOfOurOwn() {
        connected();
        assertFalse(link.isSuspected(5));
        host.loop.advance(Duration.ofMillis(900));
        assertTrue(link.isSuspected(5));
        link.resetFailureDetection();
        assertFalse(link.isSuspected(5));
    }

    @Test
    void framesOutOfSequenceEndTheConnection() {
        FakeConnection connection = connected();
        connection.receiver.received(FrameCodec.encode(new AgentContacts(List.of(NOTE)), 9));
        assertTrue(connection.closed);
        assertEquals(2, network.opened.size(), "another one is dialed");
    }

    @Test
    void anOlderIncarnationAndAnotherNameEndTheConnection() {
        FakeConnection first = connected();
        first.says(new Hello("node-1", 4));
        assertTrue(first.closed);
        FakeConnection second = network.last();
        second.says(new Hello("node-2", 7));
        assertTrue(second.closed);
    }

    @Test
    void aPeerThatDoesNotTakeWhatItIsSentLosesTheConnection() {
        FakeConnection connection = connected();
        connection.pending = StandbySettings.OFF.bufferBytes() + 1;
        host.loop.advance(Duration.ofMillis(200));
        link.heartbeat();
        assertTrue(connection.closed);
    }

    @Test
    void aNewConnectionBeginsWithAllThatIsOpen() {
        FakeConnection first = connected();
        link.sendContacts(List.of(NOTE));
        link.sendContacts(List.of(NOTE));
        assertEquals(
                1, first.sent.stream().filter(m -> m instanceof AgentContacts).count(), "no news is not sent");
        long number = decisions.begin(List.of("live/job/j-1"));
        first.receiver.closed("closed by the other end");
        FakeConnection second = network.last();
        link.sendContacts(List.of(NOTE));
        assertEquals(
                List.of(
                        new Hello("node-0", host.incarnation()),
                        new SnapshotBegin(),
                        new PeerMessage.Intent(number, List.of("live/job/j-1")),
                        new AgentContacts(List.of(NOTE))),
                second.sent);
    }
}
