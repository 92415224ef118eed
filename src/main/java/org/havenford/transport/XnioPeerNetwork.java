package org.havenford.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** TCP connections between controllers, on the only I/O thread of an XNIO worker. */
public final class XnioPeerNetwork implements PeerNetwork {
    private static final Logger LOG = LoggerFactory.getLogger(XnioPeerNetwork.class);
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final OptionMap SOCKET_OPTIONS =
            OptionMap.create(Options.TCP_NODELAY, true, Options.REUSE_ADDRESSES, true);

    private final XnioWorker worker;
    private final XnioLoop loop;
    /** Shared by all connections: the receiver consumes its content before the next read. */
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);

    /** Creates a network on a worker whose only I/O thread runs the loop. */
    public XnioPeerNetwork(XnioWorker worker, XnioLoop loop) {
        this.worker = worker;
        this.loop = loop;
    }

    @Override
    public void listen(String address, Consumer<Connection> accepted) {
        ChannelListener<AcceptingChannel<StreamConnection>> acceptor = server -> {
            try {
                for (StreamConnection c = server.accept(); c != null; c = server.accept()) {
                    accepted.accept(new XnioConnection(c));
                }
            } catch (IOException e) {
                LOG.debug("peer connection cannot be accepted: error={}", e.getMessage());
            }
        };
        try {
            worker.createStreamConnectionServer(socketAddress(address), acceptor, SOCKET_OPTIONS)
                    .resumeAccepts();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void connect(String address, Duration timeout, Consumer<Connection> connected, Consumer<String> failed) {
        InetSocketAddress target;
        try {
            target = socketAddress(address);
        } catch (IOException e) {
            loop.after(Duration.ZERO, () -> failed.accept("invalid address: " + address));
            return;
        }
        new ConnectionAttempt(connected, failed).start(target, timeout);
    }

    /** An attempt to connect, which calls exactly one of its callbacks. */
    private final class ConnectionAttempt {
        private final Consumer<Connection> connected;
        private final Consumer<String> failed;
        private boolean completed;

        ConnectionAttempt(Consumer<Connection> connected, Consumer<String> failed) {
            this.connected = connected;
            this.failed = failed;
        }

        void start(InetSocketAddress target, Duration timeout) {
            IoFuture<StreamConnection> future =
                    loop.thread().openStreamConnection(target, this::opened, SOCKET_OPTIONS);
            // The future may already have failed. Its failure is handled in a task on the loop, so that
            // success, failure and timeout are all ordered by the loop's thread.
            future.addNotifier(
                    (result, ignored) -> {
                        if (result.getStatus() == IoFuture.Status.FAILED) {
                            String reason = result.getException().getMessage();
                            loop.after(Duration.ZERO, () -> fail(reason));
                        }
                    },
                    null);
            loop.after(timeout, () -> {
                if (!completed) {
                    future.cancel();
                    fail("connection timed out");
                }
            });
        }

        private void opened(StreamConnection stream) {
            if (completed) {
                IoUtils.safeClose(stream);
            } else {
                completed = true;
                connected.accept(new XnioConnection(stream));
            }
        }

        private void fail(String reason) {
            if (!completed) {
                completed = true;
                failed.accept(reason);
            }
        }
    }

    /** Parses host:port. The host is expected to be an IP address: a name would be resolved by a blocking DNS lookup. */
    private static InetSocketAddress socketAddress(String address) throws UnknownHostException {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon);
        return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(address.substring(colon + 1)));
    }

    /** A connection whose unsent bytes are queued in memory. */
    private final class XnioConnection implements Connection {
        private final StreamConnection stream;
        private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
        private Receiver receiver;
        private int pendingBytes;
        private boolean closed;

        XnioConnection(StreamConnection stream) {
            this.stream = stream;
            stream.getSourceChannel().setReadListener(channel -> read());
            stream.getSinkChannel().setWriteListener(channel -> write());
        }

        @Override
        public void receiver(Receiver newReceiver) {
            receiver = newReceiver;
            stream.getSourceChannel().resumeReads();
        }

        private void read() {
            try {
                while (!closed) {
                    readBuffer.clear();
                    int count = stream.getSourceChannel().read(readBuffer);
                    if (count == 0) {
                        return;
                    }
                    if (count < 0) {
                        closeAndNotify("closed by the peer");
                        return;
                    }
                    readBuffer.flip();
                    receiver.received(readBuffer);
                }
            } catch (IOException e) {
                closeAndNotify(String.valueOf(e.getMessage()));
            } catch (RuntimeException e) {
                LOG.error("peer message handler failed", e);
                closeAndNotify("message handler failed");
            }
        }

        @Override
        public void send(ByteBuffer bytes) {
            if (closed) {
                return;
            }
            unsent.add(bytes);
            pendingBytes += bytes.remaining();
            if (unsent.size() == 1) {
                write();
            }
        }

        private void write() {
            try {
                while (!unsent.isEmpty()) {
                    ByteBuffer next = unsent.peek();
                    pendingBytes -= stream.getSinkChannel().write(next);
                    if (next.hasRemaining()) {
                        stream.getSinkChannel().resumeWrites();
                        return;
                    }
                    unsent.poll();
                }
                stream.getSinkChannel().suspendWrites();
            } catch (ClosedChannelException e) {
                closeAndNotifyLater("channel closed");
            } catch (IOException e) {
                closeAndNotifyLater(String.valueOf(e.getMessage()));
            }
        }

        /** Closes in a later task on the loop, so that the receiver is not notified while its caller is still in a send. */
        private void closeAndNotifyLater(String reason) {
            unsent.clear();
            loop.after(Duration.ZERO, () -> closeAndNotify(reason));
        }

        private void closeAndNotify(String reason) {
            if (!closed) {
                close();
                if (receiver != null) {
                    receiver.closed(reason);
                }
            }
        }

        @Override
        public int pendingBytes() {
            return pendingBytes;
        }

        @Override
        public void close() {
            closed = true;
            unsent.clear();
            IoUtils.safeClose(stream);
        }
    }
}
