package org.havenford.transport;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;
import org.xnio.Options;

/** An HTTP server, based on Undertow, whose handler runs on the event loop's thread. */
public final class HttpServer {
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
    /** Longer than any client waits for a response. */
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(10);

    private final XnioLoop loop;
    private final int maxConnections;
    private final Handler handler;
    private final Duration exchangeTimeout;
    private final ExchangeFailureListener failureListener;
    private final Undertow server;

    /** Creates a server, which listens on {@code address} once it is started. */
    public HttpServer(XnioLoop loop, InetSocketAddress address, int maxConnections, Handler handler) {
        this(loop, address, maxConnections, handler, EXCHANGE_TIMEOUT, new ExchangeFailureLog(loop));
    }

    /**
     * Creates a server.
     *
     * @param exchangeTimeout longest time for receiving a request, for handling it, and for sending the response
     */
    HttpServer(
            XnioLoop loop,
            InetSocketAddress address,
            int maxConnections,
            Handler handler,
            Duration exchangeTimeout,
            ExchangeFailureListener failureListener) {
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.handler = handler;
        this.exchangeTimeout = exchangeTimeout;
        this.failureListener = failureListener;
        server = Undertow.builder()
                .setWorker(loop.thread().getWorker())
                .setBufferSize(4096)
                .setDirectBuffers(false)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, maxConnections)
                .setSocketOption(Options.CONNECTION_LOW_WATER, maxConnections)
                .setSocketOption(Options.BACKLOG, 256)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
                .addHttpListener(
                        address.getPort(), address.getHostString(), new HttpContinueReadHandler(this::startExchange))
                .build();
    }

    private void startExchange(HttpServerExchange undertowExchange) {
        ServerExchange exchange = new ServerExchange(
                undertowExchange, handler, loop, exchangeTimeout, failureListener, this::isNearConnectionLimit);
        undertowExchange.dispatch(SameThreadExecutor.INSTANCE, exchange::start);
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
}
