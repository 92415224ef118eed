package org.havenford.transport;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;
import org.xnio.ChannelListeners;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

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
    /** Share of the allowed connections that may wait for a complete request. */
    private static final double INCOMPLETE_SHARE = 0.2;
    /** Longer than any client waits for a response. */
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(10);
    /** How long a connection may be idle between two requests, or before its first. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private static final int MAX_HEAD_BYTES = 8 * 1024;
    private static final int BUFFER_BYTES = 4096;
    /** Buffers that each thread keeps for reuse. */
    private static final int CACHED_BUFFERS = 4;

    private static final int BACKLOG = 256;

    private final XnioLoop loop;
    private final int maxConnections;
    private final ExchangeContext exchangeContext;
    private final InetSocketAddress address;
    private final IncompleteRequests incompleteRequests;
    private final HttpOpenListener openListener;

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
        this.address = address;
        incompleteRequests = new IncompleteRequests(loop, (int) (maxConnections * INCOMPLETE_SHARE));
        exchangeContext = new ExchangeContext(
                handler, loop, exchangeTimeout, failureListener, this::isNearConnectionLimit, incompleteRequests);
        OptionMap options = OptionMap.builder()
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ENABLE_STATISTICS, true)
                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) exchangeTimeout.toMillis())
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, (int) IDLE_TIMEOUT.toMillis())
                .getMap();
        openListener =
                new HttpOpenListener(new DefaultByteBufferPool(false, BUFFER_BYTES, -1, CACHED_BUFFERS), options);
        openListener.setRootHandler(new HttpContinueReadHandler(this::startExchange));
    }

    private void startExchange(HttpServerExchange undertowExchange) {
        ServerExchange exchange = new ServerExchange(undertowExchange, exchangeContext);
        undertowExchange.dispatch(SameThreadExecutor.INSTANCE, exchange::start);
    }

    /** Starts to listen. */
    public void start() {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, loop.thread().getWorker().getIoThreadCount())
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BALANCING_TOKENS, 1)
                .set(Options.BALANCING_CONNECTIONS, 2)
                .set(Options.CONNECTION_HIGH_WATER, maxConnections)
                .set(Options.CONNECTION_LOW_WATER, maxConnections)
                .set(Options.BACKLOG, BACKLOG)
                .getMap();
        try {
            loop.thread()
                    .getWorker()
                    .createStreamConnectionServer(
                            new InetSocketAddress(address.getHostString(), address.getPort()),
                            ChannelListeners.openListenerAdapter(this::accept),
                            options)
                    .resumeAccepts();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void accept(StreamConnection connection) {
        incompleteRequests.add(connection, MAX_HEAD_BYTES);
        openListener.handleEvent(connection);
    }

    /** Returns the number of open inbound connections. */
    public int openConnections() {
        return (int) openListener.getConnectorStatistics().getActiveConnections();
    }

    /**
     * Returns whether connections must be closed after their response. A controller that serves the agents of all others
     * too may have more agents than connections.
     */
    private boolean isNearConnectionLimit() {
        return openConnections() > maxConnections * KEEP_ALIVE_SHARE;
    }
}
