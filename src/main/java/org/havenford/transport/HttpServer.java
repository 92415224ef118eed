package org.havenford.transport;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** Undertow, serving on the event loop's thread. A handler answers through a callback, at once or later. */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
    public static final int MAX_BODY = 64 * 1024;

    /** A request; {@code body} is null when it was larger than {@link #MAX_BODY} or could not be read. */
    public record Request(String method, String path, byte[] body) {}

    /** An answer; {@code retryAfter} is null unless the caller is told when to come back. */
    public record Response(int status, String body, Duration retryAfter, boolean close) {
        /** A response with a status and a body. */
        public static Response of(int status, String body) {
            return new Response(status, body, null, false);
        }

        /** Refuses at once, and names a time to come back; the next try may then reach another node. */
        public static Response comeBack(Duration after) {
            return new Response(503, "{\"error\":\"not ready\"}", after, true);
        }
    }

    /** Answers requests; the answer may come later, from the event loop. */
    public interface Handler {
        /** Answers one request. */
        void handle(Request request, Consumer<Response> answer);
    }

    /** Part of the connections from which on none is kept after its answer, so that all who come find room in turn. */
    private static final double KEPT = 0.75;

    private final Undertow server;
    private final int maxConnections;

    /** A server that listens once it is started. */
    public HttpServer(XnioWorker worker, String host, int port, int maxConnections, Handler handler) {
        this.maxConnections = maxConnections;
        server = Undertow.builder()
                .setWorker(worker)
                .setBufferSize(4096)
                .setDirectBuffers(false)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, maxConnections)
                .setSocketOption(Options.CONNECTION_LOW_WATER, maxConnections)
                .setSocketOption(Options.BACKLOG, 256)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
                .addHttpListener(
                        port,
                        host,
                        exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> receive(exchange, handler)))
                .build();
    }

    /** Begins to listen. */
    public void start() {
        server.start();
    }

    /** Connections that others have opened to us. */
    public int open() {
        return (int) server.getListenerInfo().get(0).getConnectorStatistics().getActiveConnections();
    }

    /** When one controller serves the workers of all, there may be more of them than sockets. */
    private boolean crowded() {
        return open() > maxConnections * KEPT;
    }

    private void receive(HttpServerExchange exchange, Handler handler) {
        String method = exchange.getRequestMethod().toString();
        String path = exchange.getRequestPath();
        if (method.equals("GET")) {
            handle(exchange, handler, new Request(method, path, new byte[0]));
            return;
        }
        exchange.getRequestReceiver().setMaxBufferSize(MAX_BODY);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, bytes) ->
                                handle(e, handler, new Request(method, path, bytes.length > MAX_BODY ? null : bytes)),
                        (e, failure) -> {
                            e.setPersistent(false);
                            handle(e, handler, new Request(method, path, null));
                        });
    }

    private void handle(HttpServerExchange exchange, Handler handler, Request request) {
        try {
            handler.handle(request, response -> answer(exchange, response));
        } catch (RuntimeException e) {
            LOG.error("request handler failed: method={} path={}", request.method(), request.path(), e);
            answer(exchange, Response.comeBack(Duration.ofSeconds(1)));
        }
    }

    private void answer(HttpServerExchange exchange, Response response) {
        if (exchange.isResponseStarted() || exchange.isComplete()) {
            return;
        }
        exchange.setStatusCode(response.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        if (response.retryAfter() != null) {
            exchange.getResponseHeaders()
                    .put(
                            Headers.RETRY_AFTER,
                            Long.toString(Math.max(1, response.retryAfter().toSeconds())));
        }
        if (response.close() || crowded()) {
            exchange.setPersistent(false);
        }
        exchange.getResponseSender().send(response.body(), StandardCharsets.UTF_8);
    }
}
