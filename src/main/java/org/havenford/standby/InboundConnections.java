package org.havenford.standby;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.havenford.coordination.failover.StandbyHost;
import org.havenford.standby.FrameCodec.Frame;
import org.havenford.standby.PeerMessage.Hello;
import org.havenford.transport.PeerNetwork;
import org.havenford.transport.PeerNetwork.Connection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts connections opened by peers and hands each to the {@link PeerLink} of the peer named in its first message. */
final class InboundConnections {
    private static final Logger LOG = LoggerFactory.getLogger(InboundConnections.class);
    private static final int MAX_UNIDENTIFIED = 32;

    private final StandbyHost host;
    private final Duration identificationTimeout;
    private final Map<String, PeerLink> links;
    private int unidentified;

    InboundConnections(StandbyHost host, Duration identificationTimeout, Map<String, PeerLink> links) {
        this.host = host;
        this.identificationTimeout = identificationTimeout;
        this.links = links;
    }

    /** Accepts a new connection. It is closed if its first message does not arrive in time. */
    void accept(Connection connection) {
        host.eventStarted();
        if (unidentified >= MAX_UNIDENTIFIED) {
            connection.close();
            return;
        }
        unidentified++;
        UnidentifiedPeer peer = new UnidentifiedPeer(connection);
        host.loop().after(identificationTimeout, peer::timeOut);
        connection.receiver(peer);
    }

    /** Receiver of a connection whose peer is not identified yet. */
    private final class UnidentifiedPeer implements PeerNetwork.Receiver {
        private final Connection connection;
        private final FrameDecoder decoder = new FrameDecoder();
        private boolean ended;

        UnidentifiedPeer(Connection connection) {
            this.connection = connection;
        }

        private void end() {
            if (!ended) {
                ended = true;
                unidentified--;
            }
        }

        private void timeOut() {
            if (!ended) {
                connection.close();
                end();
            }
        }

        @Override
        public void received(ByteBuffer bytes) {
            host.eventStarted();
            if (ended) {
                return;
            }
            try {
                identify(decoder.feed(bytes));
            } catch (MalformedFrameException e) {
                LOG.warn("inbound connection closed: reason={}", e.getMessage());
                connection.close();
                end();
            }
        }

        private void identify(List<Frame> frames) throws MalformedFrameException {
            if (frames.isEmpty()) {
                return;
            }
            if (!(frames.get(0).message() instanceof Hello hello) || !links.containsKey(hello.node())) {
                throw new MalformedFrameException("first message must be the hello of a configured peer, received "
                        + frames.get(0).message().getClass().getSimpleName());
            }
            end();
            links.get(hello.node()).accept(connection, decoder, frames);
        }

        @Override
        public void closed(String reason) {
            end();
        }
    }
}
