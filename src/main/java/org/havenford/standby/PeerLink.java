package org.havenford.standby;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.havenford.coordination.agents.AgentContact;
import org.havenford.coordination.failover.StandbyHost;
import org.havenford.settings.PlatformSettings;
import org.havenford.settings.StandbySettings;
import org.havenford.standby.FrameCodec.Frame;
import org.havenford.standby.PeerMessage.AgentContacts;
import org.havenford.standby.PeerMessage.Heartbeat;
import org.havenford.standby.PeerMessage.Hello;
import org.havenford.standby.PeerMessage.Intent;
import org.havenford.standby.PeerMessage.MachinesGone;
import org.havenford.standby.PeerMessage.SnapshotBegin;
import org.havenford.transport.PeerNetwork;
import org.havenford.transport.PeerNetwork.Connection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connection to one peer. It sends the agent contacts and decisions of this node, and applies the frames of the peer to a
 * {@link Follower}. The node with the smaller name dials. Sending never blocks: if the unsent bytes exceed the buffer limit,
 * the connection is closed, and the next one starts with a snapshot.
 */
final class PeerLink {
    private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);
    private static final Duration DIAL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration MIN_REDIAL_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_REDIAL_DELAY = Duration.ofSeconds(5);

    private final StandbyHost host;
    private final PeerNetwork network;
    private final PlatformSettings.Peer peer;
    private final String self;
    private final StandbySettings settings;
    private final DecisionLog decisions;
    private final BiConsumer<PeerLink, PeerMessage> messageListener;
    private final Runnable unreachableListener;

    private Connection connection;
    private Follower follower = new Follower();
    /** State received over the last connection; a takeover uses it after the peer has failed. */
    private Follower previousFollower = new Follower();

    private FrameDecoder decoder;
    private long nextSequence;
    private long announcedIncarnation;
    private boolean dialing;
    private Duration redialDelay = MIN_REDIAL_DELAY;
    private Instant lastSent = Instant.MIN;
    private Instant lastReceived = Instant.MIN;
    private Instant disconnectedAt = Instant.MIN;
    private boolean lastDialFailed;
    private final Map<String, AgentContact> sentContacts = new HashMap<>();
    private long bytesSent;

    /**
     * Creates a link that is not connected.
     *
     * @param messageListener receives each message of the peer after it was applied to the follower
     * @param unreachableListener is called when the connection is lost or cannot be opened
     */
    PeerLink(
            StandbyHost host,
            PeerNetwork network,
            PlatformSettings.Peer peer,
            String self,
            StandbySettings settings,
            DecisionLog decisions,
            BiConsumer<PeerLink, PeerMessage> messageListener,
            Runnable unreachableListener) {
        this.host = host;
        this.network = network;
        this.peer = peer;
        this.self = self;
        this.settings = settings;
        this.decisions = decisions;
        this.messageListener = messageListener;
        this.unreachableListener = unreachableListener;
    }

    String name() {
        return peer.node();
    }

    String zone() {
        return peer.zone();
    }

    /** Dials the peer if this node has the smaller name. */
    void start() {
        if (isDialer()) {
            dial();
        }
    }

    private boolean isDialer() {
        return self.compareTo(peer.node()) < 0;
    }

    private void dial() {
        if (connection != null || dialing) {
            return;
        }
        dialing = true;
        network.connect(peer.address(), DIAL_TIMEOUT, this::dialed, reason -> {
            host.eventStarted();
            dialing = false;
            dialFailed(reason);
        });
    }

    private void dialed(Connection opened) {
        host.eventStarted();
        dialing = false;
        if (connection != null || !isDialer()) {
            // Either the peer has connected in the meantime, or the peer is the one that dials and this connection only
            // tested whether it accepts connections.
            opened.close();
            return;
        }
        redialDelay = MIN_REDIAL_DELAY;
        attach(opened, new FrameDecoder());
        sendHello();
    }

    private void dialFailed(String reason) {
        LOG.debug("peer cannot be dialed: peer={} reason={}", peer.node(), reason);
        if (connection == null) {
            lastDialFailed = true;
            unreachableListener.run();
        }
        if (isDialer()) {
            host.loop().after(redialDelay, this::dial);
            redialDelay = MAX_REDIAL_DELAY.compareTo(redialDelay.multipliedBy(2)) < 0
                    ? MAX_REDIAL_DELAY
                    : redialDelay.multipliedBy(2);
        }
    }

    /** Takes over an inbound connection whose first message is the peer's hello. */
    void accept(Connection opened, FrameDecoder newDecoder, List<Frame> frames) {
        if (connection != null) {
            connection.close();
            disconnected("replaced by a new connection from the peer");
        }
        attach(opened, newDecoder);
        sendHello();
        apply(frames);
    }

    private void attach(Connection opened, FrameDecoder newDecoder) {
        connection = opened;
        decoder = newDecoder;
        follower = new Follower();
        nextSequence = 0;
        lastDialFailed = false;
        lastReceived = host.loop().now();
        sentContacts.clear();
        opened.receiver(new PeerNetwork.Receiver() {
            @Override
            public void received(ByteBuffer bytes) {
                host.eventStarted();
                if (connection == opened) {
                    read(bytes);
                }
            }

            @Override
            public void closed(String reason) {
                host.eventStarted();
                if (connection == opened) {
                    disconnected(reason);
                }
            }
        });
    }

    private void read(ByteBuffer bytes) {
        try {
            apply(decoder.feed(bytes));
        } catch (MalformedFrameException e) {
            closeAfterError(e.getMessage());
        }
    }

    private void apply(List<Frame> frames) {
        try {
            for (Frame frame : frames) {
                if (connection == null) {
                    return;
                }
                follower.apply(frame);
                lastReceived = host.loop().now();
                if (!peer.node().equals(follower.node())) {
                    throw new MalformedFrameException(
                            "hello names node \"" + follower.node() + "\", expected \"" + peer.node() + "\"");
                }
                messageListener.accept(this, frame.message());
            }
        } catch (MalformedFrameException e) {
            closeAfterError(e.getMessage());
        }
    }

    private void closeAfterError(String reason) {
        LOG.warn("peer connection closed: peer={} reason={}", peer.node(), reason);
        connection.close();
        disconnected(reason);
    }

    private void disconnected(String reason) {
        LOG.debug("peer connection lost: peer={} reason={}", peer.node(), reason);
        connection = null;
        previousFollower = follower;
        disconnectedAt = host.loop().now();
        unreachableListener.run();
        // Done even if the peer is the one that dials: a refused connection is the earliest sign that it has ended.
        dial();
    }

    private void sendHello() {
        announcedIncarnation = host.incarnation();
        send(new Hello(self, announcedIncarnation));
        send(new SnapshotBegin());
        decisions.forEachOpen(this::sendIntent);
    }

    /** Sends a message if the link is connected. */
    void send(PeerMessage message) {
        if (connection == null) {
            return;
        }
        ByteBuffer frame = FrameCodec.encode(message, nextSequence++);
        bytesSent += frame.remaining();
        lastSent = host.loop().now();
        connection.send(frame);
        if (connection != null && connection.pendingBytes() > settings.bufferBytes()) {
            closeAfterError(
                    connection.pendingBytes() + " unsent bytes exceed the buffer limit of " + settings.bufferBytes());
        }
    }

    /** Announces a transaction that is about to be sent to the store. */
    void sendIntent(long number, List<String> keys) {
        if (connection != null) {
            send(new Intent(number, keys.subList(0, Math.min(keys.size(), FrameCodec.MAX_ITEMS))));
        }
    }

    /**
     * Sends a heartbeat unless another message was sent recently. Sends a new hello if the incarnation of this node
     * changed.
     */
    void heartbeat() {
        if (connection == null) {
            return;
        }
        if (announcedIncarnation != host.incarnation()) {
            sentContacts.clear();
            sendHello();
        } else if (!host.loop()
                .now()
                .isBefore(lastSent.plus(settings.heartbeat().dividedBy(2)))) {
            send(new Heartbeat());
        }
    }

    /** Sends the changes since the last call to the contacts of machines for which the peer is the standby. */
    void sendContacts(List<AgentContact> contacts) {
        if (connection == null) {
            return;
        }
        List<AgentContact> changedContacts = new ArrayList<>();
        Set<String> currentMachines = new HashSet<>();
        for (AgentContact contact : contacts) {
            currentMachines.add(contact.machine());
            if (!contact.equals(sentContacts.put(contact.machine(), contact))) {
                changedContacts.add(contact);
            }
        }
        List<String> removedMachines = new ArrayList<>(sentContacts.keySet());
        removedMachines.removeAll(currentMachines);
        sentContacts.keySet().removeAll(removedMachines);
        for (int from = 0; from < changedContacts.size(); from += FrameCodec.MAX_ITEMS) {
            send(new AgentContacts(
                    changedContacts.subList(from, Math.min(changedContacts.size(), from + FrameCodec.MAX_ITEMS))));
        }
        for (int from = 0; from < removedMachines.size(); from += FrameCodec.MAX_ITEMS) {
            send(new MachinesGone(
                    removedMachines.subList(from, Math.min(removedMachines.size(), from + FrameCodec.MAX_ITEMS))));
        }
    }

    /** Returns the number of bytes sent since the last call. */
    long getAndResetBytesSent() {
        long bytes = bytesSent;
        bytesSent = 0;
        return bytes;
    }

    boolean connected() {
        return connection != null;
    }

    /** Returns the state received from the peer, which may be that of the last connection. */
    Follower follower() {
        return connection != null && follower.node() != null ? follower : previousFollower;
    }

    /** Returns the time since the last message of the peer. */
    Duration silence() {
        return Duration.between(lastReceived, host.loop().now());
    }

    /** Restarts the silence and disconnection timeouts after this process could not receive messages for a while. */
    void resetFailureDetection() {
        Instant now = host.loop().now();
        lastReceived = lastReceived.equals(Instant.MIN) ? lastReceived : now;
        disconnectedAt = disconnectedAt.equals(Instant.MIN) ? disconnectedAt : now;
        lastDialFailed = false;
        if (connection == null) {
            dial();
        }
    }

    /** Returns whether this known incarnation of the peer was silent or disconnected for too long, or cannot be dialed. */
    boolean isSuspected(long incarnation) {
        Follower known = follower();
        if (incarnation == 0 || known.incarnation() != incarnation) {
            return false;
        }
        Instant now = host.loop().now();
        if (connection != null) {
            return now.isAfter(lastReceived.plus(settings.suspectAfter()));
        }
        return lastDialFailed || now.isAfter(disconnectedAt.plus(settings.suspectAfter()));
    }
}
