package org.havenford.transport;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** An HTTP server, based on Undertow, whose handler runs on the event loop's thread. */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
    /** Largest accepted request body, in bytes. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /** A request; {@code body} is null if it was larger than {@link #MAX_BODY_BYTES}. */
    public record Request(String method, String path, byte[] body) {}

    /** A response. {@code retryAfter} is null, or the delay that the Retry-After header asks of the client. */
    public record Response(int status, String body, Duration retryAfter, boolean close) {
        /** Returns a response with a status and a body. */
        public static Response of(int status, String body) {
            return new Response(status, body, null, false);
        }

        /** Returns a 503 with a Retry-After header that closes the connection, so that a retry may reach another node. */
        public static Response unavailable(Duration after) {
            return new Response(503, "{\"error\":\"not ready\"}", after, true);
        }
    }

    /** Handles requests. */
    public interface Handler {
        /** Handles a request and passes its response to {@code callback}, at once or later, on the event loop. */
        void handle(Request request, Consumer<Response> callback);
    }

    /** Share of the allowed connections above which each is closed after its response, so that others can connect. */
    private static final double KEEP_ALIVE_SHARE = 0.75;

    private static final Response INCOMPLETE =
            Response.of(StatusCodes.BAD_REQUEST, "{\"error\":\"the body is incomplete\"}");

    private final Undertow server;
    private final int maxConnections;

    /** Creates a server, which listens once it is started. */
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
                        new HttpContinueReadHandler(exchange ->
                                exchange.dispatch(SameThreadExecutor.INSTANCE, () -> receive(exchange, handler))))
                .build();
    }

    /** Starts to listen. */
    public void start() {
        server.start();
    }

    /** Returns the number of open inbound connections. */
    public int openConnections() {
        return (int) server.getListenerInfo().get(0).getConnectorStatistics().getActiveConnections();
    }

    /**
     * Returns whether connections must be closed after their response. A controller that serves the agents of all others
     * too may have more agents than connections.
     */
    private boolean isNearConnectionLimit() {
        return openConnections() > maxConnections * KEEP_ALIVE_SHARE;
    }

    private void receive(HttpServerExchange exchange, Handler handler) {
        // The status that Undertow sends if an exchange ends without a response; its default is 200.
        exchange.setStatusCode(StatusCodes.INTERNAL_SERVER_ERROR);
        String method = exchange.getRequestMethod().toString();
        String path = exchange.getRequestPath();
        if (method.equals("GET")) {
            handle(exchange, handler, new Request(method, path, new byte[0]));
            return;
        }
        exchange.getRequestReceiver().setMaxBufferSize(MAX_BODY_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, bytes) -> dispatch(
                                e, handler, new Request(method, path, bytes.length > MAX_BODY_BYTES ? null : bytes)),
                        (e, exception) -> {
                            e.setPersistent(false);
                            if (exception instanceof Receiver.RequestToLargeException) {
                                dispatch(e, handler, new Request(method, path, null));
                            } else {
                                e.dispatch(SameThreadExecutor.INSTANCE, () -> respond(e, INCOMPLETE));
                            }
                        });
    }

    /**
     * Passes a request to the handler outside of the receiver's callback. When a callback for a body that arrived after
     * the head returns, Undertow ends the exchange unless a task was dispatched, even if the response is still to come.
     */
    private void dispatch(HttpServerExchange exchange, Handler handler, Request request) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handle(exchange, handler, request));
    }

    private void handle(HttpServerExchange exchange, Handler handler, Request request) {
        try {
            handler.handle(request, response -> respond(exchange, response));
        } catch (RuntimeException e) {
            LOG.error("request handler failed: method={} path={}", request.method(), request.path(), e);
            respond(exchange, Response.unavailable(Duration.ofSeconds(1)));
        }
    }

    private void respond(HttpServerExchange exchange, Response response) {
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
        if (response.close() || isNearConnectionLimit()) {
            exchange.setPersistent(false);
        }
        exchange.getResponseSender().send(response.body(), StandardCharsets.UTF_8);
    }
}
