package org.havenford.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringReadChannelListener;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.agrona.collections.Object2ObjectHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;

/**
 * Undertow's client on the event loop, with kept connections. A connection serves one call at a time; one whose call
 * ran out of time is closed, so that a late answer can't be taken for the answer to a later call. When there is no room
 * for another connection, the kept one that has been idle longest makes way.
 */
public final class HttpClient implements HttpCalls {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);
    private static final int MAX_IDLE_PER_HOST = 8;
    private static final int MAX_EVICTED = 4;
    private final XnioLoop loop;
    private final ByteBufferPool buffers;
    private final IntSupplier mostOpen;
    private int open;
    /** Idle connections with their hosts, the longest idle first. */
    private final LinkedHashMap<ClientConnection, String> byAge = new LinkedHashMap<>();

    private final Object2ObjectHashMap<String, ArrayDeque<ClientConnection>> idle = new Object2ObjectHashMap<>();

    /** {@code mostOpen} says how many connections there is room for at the moment. */
    public HttpClient(XnioLoop loop, ByteBufferPool buffers, IntSupplier mostOpen) {
        this.loop = loop;
        this.buffers = buffers;
        this.mostOpen = mostOpen;
    }

    @Override
    public void call(String address, String method, String path, String body, Duration timeout, Consumer<Reply> done) {
        new Call(address, method, path, body, done).start(timeout);
    }

    private ClientConnection pooled(String address) {
        ArrayDeque<ClientConnection> queue = idle.get(address);
        while (queue != null && !queue.isEmpty()) {
            ClientConnection c = queue.pollLast();
            byAge.remove(c);
            if (c.isOpen()) {
                return c;
            }
            IoUtils.safeClose(c);
        }
        if (queue != null) {
            idle.remove(address, queue);
        }
        return null;
    }

    private void release(String address, ClientConnection c) {
        ArrayDeque<ClientConnection> queue = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
        if (c.isOpen() && queue.size() < MAX_IDLE_PER_HOST) {
            queue.addLast(c);
            byAge.put(c, address);
        } else {
            IoUtils.safeClose(c);
        }
    }

    private boolean makeRoom() {
        int most = mostOpen.getAsInt();
        for (int i = 0; i < MAX_EVICTED && open >= most && !byAge.isEmpty(); i++) {
            Map.Entry<ClientConnection, String> eldest =
                    byAge.entrySet().iterator().next();
            ClientConnection c = eldest.getKey();
            String address = eldest.getValue();
            byAge.remove(c);
            ArrayDeque<ClientConnection> queue = idle.get(address);
            queue.remove(c);
            if (queue.isEmpty()) {
                idle.remove(address);
            }
            IoUtils.safeClose(c);
        }
        return open < most;
    }

    private final class Call implements ClientCallback<ClientExchange> {
        private final String address;
        private final String method;
        private final String path;
        private final String body;
        private final Consumer<Reply> done;
        private ClientConnection connection;
        private XnioExecutor.Key deadline;
        private boolean finished;
        private boolean sent;

        Call(String address, String method, String path, String body, Consumer<Reply> done) {
            this.address = address;
            this.method = method;
            this.path = path;
            this.body = body;
            this.done = done;
        }

        void start(Duration timeout) {
            deadline = loop.unlessRemoved(timeout, () -> fail("timeout"));
            ClientConnection kept = pooled(address);
            if (kept != null) {
                connection = kept;
                send();
                return;
            }
            if (!makeRoom()) {
                loop.after(Duration.ZERO, () -> fail("too many connections"));
                return;
            }
            UndertowClient.getInstance()
                    .connect(
                            new ClientCallback<>() {
                                @Override
                                public void completed(ClientConnection c) {
                                    open++;
                                    c.getCloseSetter().set(ch -> open--);
                                    if (finished) {
                                        IoUtils.safeClose(c);
                                        return;
                                    }
                                    connection = c;
                                    send();
                                }

                                @Override
                                public void failed(IOException e) {
                                    fail(e.toString());
                                }
                            },
                            URI.create("http://" + address),
                            loop.thread(),
                            buffers,
                            OptionMap.EMPTY);
        }

        private void send() {
            sent = true;
            ClientRequest request =
                    new ClientRequest().setMethod(new HttpString(method)).setPath(path);
            request.getRequestHeaders().put(Headers.HOST, address);
            if (body != null) {
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.getBytes(StandardCharsets.UTF_8).length);
            } else if (!method.equals("GET")) {
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, "0");
            }
            connection.sendRequest(request, this);
        }

        @Override
        public void completed(ClientExchange exchange) {
            exchange.setResponseListener(new ClientCallback<>() {
                @Override
                public void completed(ClientExchange answered) {
                    int status = answered.getResponse().getResponseCode();
                    boolean close = "close"
                            .equalsIgnoreCase(
                                    answered.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
                    new StringReadChannelListener(buffers) {
                        @Override
                        protected void stringDone(String text) {
                            finish(new Reply(status, text), !close);
                        }

                        @Override
                        protected void error(IOException e) {
                            fail(e.toString());
                        }
                    }.setup(answered.getResponseChannel());
                }

                @Override
                public void failed(IOException e) {
                    fail(e.toString());
                }
            });
            if (body != null) {
                new StringWriteChannelListener(body).setup(exchange.getRequestChannel());
            }
        }

        @Override
        public void failed(IOException e) {
            fail(e.toString());
        }

        private void fail(String why) {
            if (!finished) {
                LOG.debug("request failed: method={} address={} path={} reason={}", method, address, path, why);
                finish(new Reply(sent ? NO_ANSWER : NOT_SENT, ""), false);
            }
        }

        private void finish(Reply reply, boolean keep) {
            if (finished) {
                return;
            }
            finished = true;
            deadline.remove();
            ClientConnection c = connection;
            if (c != null) {
                if (keep) {
                    release(address, c);
                } else {
                    IoUtils.safeClose(c);
                }
            }
            try {
                done.accept(reply);
            } catch (RuntimeException e) {
                LOG.error("response handler failed: method={} path={}", method, path, e);
            }
        }
    }
}
