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
 * An HTTP client on the event loop, based on Undertow's client, with a pool of idle connections. A connection serves one
 * call at a time. It is closed when its call times out, so that a late response is not taken for the response to a later
 * call. When the limit of open connections is reached, those that have been idle longest are closed.
 */
public final class HttpClient implements HttpCalls {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);
    private static final int MAX_IDLE_PER_ADDRESS = 8;
    private static final int MAX_EVICTIONS_PER_CALL = 4;

    private final XnioLoop loop;
    private final ByteBufferPool buffers;
    private final IntSupplier maxOpen;
    private int openCount;
    /** Idle connections with their addresses, the longest idle first. */
    private final LinkedHashMap<ClientConnection, String> idleByAge = new LinkedHashMap<>();

    private final Object2ObjectHashMap<String, ArrayDeque<ClientConnection>> idleByAddress =
            new Object2ObjectHashMap<>();

    /** Creates a client; {@code maxOpen} returns the current limit of open connections. */
    public HttpClient(XnioLoop loop, ByteBufferPool buffers, IntSupplier maxOpen) {
        this.loop = loop;
        this.buffers = buffers;
        this.maxOpen = maxOpen;
    }

    @Override
    public void call(
            String address, String method, String path, String body, Duration timeout, Consumer<Reply> callback) {
        new Call(address, method, path, body, callback).start(timeout);
    }

    private ClientConnection takeIdle(String address) {
        ArrayDeque<ClientConnection> queue = idleByAddress.get(address);
        while (queue != null && !queue.isEmpty()) {
            ClientConnection c = queue.pollLast();
            idleByAge.remove(c);
            if (c.isOpen()) {
                return c;
            }
            IoUtils.safeClose(c);
        }
        if (queue != null) {
            idleByAddress.remove(address, queue);
        }
        return null;
    }

    private void release(String address, ClientConnection c) {
        ArrayDeque<ClientConnection> queue = idleByAddress.computeIfAbsent(address, a -> new ArrayDeque<>());
        if (c.isOpen() && queue.size() < MAX_IDLE_PER_ADDRESS) {
            queue.addLast(c);
            idleByAge.put(c, address);
        } else {
            IoUtils.safeClose(c);
        }
    }

    /** Closes idle connections while the limit is reached; returns whether another connection may be opened. */
    private boolean evictIdleConnections() {
        int limit = maxOpen.getAsInt();
        for (int i = 0; i < MAX_EVICTIONS_PER_CALL && openCount >= limit && !idleByAge.isEmpty(); i++) {
            Map.Entry<ClientConnection, String> oldest =
                    idleByAge.entrySet().iterator().next();
            ClientConnection c = oldest.getKey();
            String address = oldest.getValue();
            idleByAge.remove(c);
            ArrayDeque<ClientConnection> queue = idleByAddress.get(address);
            queue.remove(c);
            if (queue.isEmpty()) {
                idleByAddress.remove(address);
            }
            IoUtils.safeClose(c);
        }
        return openCount < limit;
    }

    private final class Call implements ClientCallback<ClientExchange> {
        private final String address;
        private final String method;
        private final String path;
        private final String body;
        private final Consumer<Reply> callback;
        private ClientConnection connection;
        private XnioExecutor.Key timeoutKey;
        private boolean finished;
        private boolean sent;

        Call(String address, String method, String path, String body, Consumer<Reply> callback) {
            this.address = address;
            this.method = method;
            this.path = path;
            this.body = body;
            this.callback = callback;
        }

        void start(Duration timeout) {
            timeoutKey = loop.afterCancellable(timeout, () -> fail("timeout"));
            ClientConnection idleConnection = takeIdle(address);
            if (idleConnection != null) {
                connection = idleConnection;
                send();
                return;
            }
            if (!evictIdleConnections()) {
                loop.after(Duration.ZERO, () -> fail("too many connections"));
                return;
            }
            UndertowClient.getInstance()
                    .connect(
                            new ClientCallback<>() {
                                @Override
                                public void completed(ClientConnection c) {
                                    openCount++;
                                    c.getCloseSetter().set(ch -> openCount--);
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
                public void completed(ClientExchange responded) {
                    int status = responded.getResponse().getResponseCode();
                    boolean close = "close"
                            .equalsIgnoreCase(
                                    responded.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
                    new StringReadChannelListener(buffers) {
                        @Override
                        protected void stringDone(String text) {
                            finish(new Reply(status, text), !close);
                        }

                        @Override
                        protected void error(IOException e) {
                            fail(e.toString());
                        }
                    }.setup(responded.getResponseChannel());
                }

                @Override
                public void failed(IOException e) {
                    fail(e.toString());
                }
            });
            if (body != null) {
                new StringWriteChannelListener(body, StandardCharsets.UTF_8).setup(exchange.getRequestChannel());
            }
        }

        @Override
        public void failed(IOException e) {
            fail(e.toString());
        }

        private void fail(String reason) {
            if (!finished) {
                LOG.debug("request failed: method={} address={} path={} reason={}", method, address, path, reason);
                finish(new Reply(sent ? NO_ANSWER : NOT_SENT, ""), false);
            }
        }

        private void finish(Reply reply, boolean reusable) {
            if (finished) {
                return;
            }
            finished = true;
            timeoutKey.remove();
            ClientConnection c = connection;
            if (c != null) {
                if (reusable) {
                    release(address, c);
                } else {
                    IoUtils.safeClose(c);
                }
            }
            try {
                callback.accept(reply);
            } catch (RuntimeException e) {
                LOG.error("response handler failed: method={} path={}", method, path, e);
            }
        }
    }
}
