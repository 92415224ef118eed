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

/** TCP between controllers on XNIO's single I/O thread. */
public final class XnioPeerNetwork implements PeerNetwork {
    private static final Logger LOG = LoggerFactory.getLogger(XnioPeerNetwork.class);
    private static final int READ_BYTES = 16 * 1024;
    private static final OptionMap SOCKET_OPTIONS =
            OptionMap.create(Options.TCP_NODELAY, true, Options.REUSE_ADDRESSES, true);

    private final XnioWorker worker;
    private final XnioLoop loop;
    /** One for all connections: its content is handed on before the next read. */
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BYTES);

    /** A network on a worker whose only I/O thread runs the loop. */
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
            loop.after(Duration.ZERO, () -> failed.accept("not an address: " + address));
            return;
        }
        new ConnectionAttempt(connected, failed).start(target, timeout);
    }

    /** One attempt to connect, which tells its outcome once. */
    private final class ConnectionAttempt {
        private final Consumer<Connection> connected;
        private final Consumer<String> failed;
        private boolean over;

        ConnectionAttempt(Consumer<Connection> connected, Consumer<String> failed) {
            this.connected = connected;
            this.failed = failed;
        }

        void start(InetSocketAddress target, Duration timeout) {
            IoFuture<StreamConnection> future =
                    loop.thread().openStreamConnection(target, this::opened, SOCKET_OPTIONS);
            // A failure is told by the future, possibly before this line: only the loop's thread decides which came
            // first.
            future.addNotifier(
                    (result, ignored) -> {
                        if (result.getStatus() == IoFuture.Status.FAILED) {
                            String reason = result.getException().getMessage();
                            loop.after(Duration.ZERO, () -> fail(reason));
                        }
                    },
                    null);
            loop.after(timeout, () -> {
                if (!over) {
                    future.cancel();
                    fail("no answer in time");
                }
            });
        }

        private void opened(StreamConnection stream) {
            if (over) {
                IoUtils.safeClose(stream);
            } else {
                over = true;
                connected.accept(new XnioConnection(stream));
            }
        }

        private void fail(String reason) {
            if (!over) {
                over = true;
                failed.accept(reason);
            }
        }
    }

    /** Addresses are numbers: nothing is looked up. */
    private static InetSocketAddress socketAddress(String address) throws UnknownHostException {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon);
        return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(address.substring(colon + 1)));
    }

    private final class XnioConnection implements Connection {
        private final StreamConnection stream;
        private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
        private Receiver receiver;
        private int pending;
        private boolean over;

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
                while (!over) {
                    readBuffer.clear();
                    int n = stream.getSourceChannel().read(readBuffer);
                    if (n == 0) {
                        return;
                    }
                    if (n < 0) {
                        end("closed by the other end");
                        return;
                    }
                    readBuffer.flip();
                    receiver.received(readBuffer);
                }
            } catch (IOException e) {
                end(String.valueOf(e.getMessage()));
            } catch (RuntimeException e) {
                LOG.error("peer message handler failed", e);
                end("an error");
            }
        }

        @Override
        public void send(ByteBuffer bytes) {
            if (over) {
                return;
            }
            unsent.add(bytes);
            pending += bytes.remaining();
            if (unsent.size() == 1) {
                write();
            }
        }

        private void write() {
            try {
                while (!unsent.isEmpty()) {
                    ByteBuffer next = unsent.peek();
                    pending -= stream.getSinkChannel().write(next);
                    if (next.hasRemaining()) {
                        stream.getSinkChannel().resumeWrites();
                        return;
                    }
                    unsent.poll();
                }
                stream.getSinkChannel().suspendWrites();
            } catch (ClosedChannelException e) {
                endLater("closed");
            } catch (IOException e) {
                endLater(String.valueOf(e.getMessage()));
            }
        }

        /** Whoever sends does not expect to be told of the end in the middle of it. */
        private void endLater(String reason) {
            unsent.clear();
            loop.after(Duration.ZERO, () -> end(reason));
        }

        private void end(String reason) {
            if (!over) {
                close();
                if (receiver != null) {
                    receiver.closed(reason);
                }
            }
        }

        @Override
        public int pendingBytes() {
            return pending;
        }

        @Override
        public void close() {
            over = true;
            unsent.clear();
            IoUtils.safeClose(stream);
        }
    }
}
