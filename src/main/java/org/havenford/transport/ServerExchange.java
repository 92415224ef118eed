package org.havenford.transport;

import io.undertow.io.IoCallback;
import io.undertow.io.Receiver;
import io.undertow.io.Sender;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.havenford.transport.HttpServer.Handler;
import org.havenford.transport.HttpServer.Request;
import org.havenford.transport.HttpServer.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * One exchange of an HTTP server: receives the body of a request, passes the request to the handler, and sends the
 * response, which the handler may give at once or later. An exchange that takes too long is ended.
 */
final class ServerExchange {
    private static final Logger LOG = LoggerFactory.getLogger(ServerExchange.class);
    private static final Response INCOMPLETE =
            Response.of(StatusCodes.BAD_REQUEST, "{\"error\":\"the body is incomplete\"}");
    private static final Response TIMED_OUT =
            Response.of(StatusCodes.GATEWAY_TIME_OUT, "{\"error\":\"no response in time\"}");
    private static final Duration RETRY_AFTER_FAULT = Duration.ofSeconds(1);

    /** Phases of an exchange, in their order. */
    private enum Phase {
        RECEIVING,
        HANDLING,
        SENDING,
        SENT,
        ENDED
    }

    private final HttpServerExchange exchange;
    private final Handler handler;
    private final XnioLoop loop;
    private final Duration timeout;
    private final ExchangeFailureListener failureListener;
    private final BooleanSupplier closesConnection;
    private final IncompleteRequests incompleteRequests;
    /** The connection on which the request arrives. */
    private final StreamConnection connection;

    private Phase phase = Phase.RECEIVING;
    /** Cancels the timeout; null if none is pending. */
    private XnioExecutor.Key timeoutKey;

    /** Creates an exchange that does nothing until it is started. */
    ServerExchange(HttpServerExchange exchange, ExchangeContext context) {
        this.exchange = exchange;
        this.handler = context.handler();
        this.loop = context.loop();
        this.timeout = context.timeout();
        this.failureListener = context.failureListener();
        this.closesConnection = context.closesConnection();
        this.incompleteRequests = context.incompleteRequests();
        connection = ((AbstractServerConnection) exchange.getConnection()).getChannel();
    }

    /** Starts to receive the request. */
    void start() {
        // The status that Undertow sends if an exchange ends without a response; its default is 200.
        exchange.setStatusCode(StatusCodes.INTERNAL_SERVER_ERROR);
        exchange.addExchangeCompleteListener((completed, nextListener) -> {
            ended();
            nextListener.proceed();
        });
        if (exchange.getRequestMethod().equals(Methods.GET)) {
            handle(new byte[0]);
        } else {
            receiveBody();
        }
        ensureTimeout();
    }

    private void receiveBody() {
        incompleteRequests.add(connection, expectedBodyBytes());
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(HttpServer.MAX_BODY_BYTES);
        receiver.receiveFullBytes(
                (received, bytes) -> dispatch(() -> handle(bytes.length > HttpServer.MAX_BODY_BYTES ? null : bytes)),
                (failed, error) -> dispatch(() -> receiveFailed(error)));
    }

    /** Returns how much memory the body may take; one that is longer, or whose length is not told, may take the most. */
    private int expectedBodyBytes() {
        long length = exchange.getRequestContentLength();
        return length < 0 || length > HttpServer.MAX_BODY_BYTES ? HttpServer.MAX_BODY_BYTES : (int) length;
    }

    /**
     * Runs a task outside of Undertow's callbacks. When a callback returns, Undertow ends the exchange, with whatever
     * response it has by then, unless a task was dispatched.
     */
    private void dispatch(Runnable task) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, task);
    }

    private void receiveFailed(IOException error) {
        if (phase == Phase.ENDED) {
            return;
        }
        exchange.setPersistent(false);
        if (error instanceof Receiver.RequestToLargeException) {
            handle(null);
        } else {
            reportFailure(ExchangeFailure.INCOMPLETE_REQUEST);
            respond(INCOMPLETE);
        }
    }

    private void handle(byte[] body) {
        phase = Phase.HANDLING;
        incompleteRequests.remove(connection);
        if (timeoutKey != null) {
            restartTimeout();
        }
        Request request = new Request(exchange.getRequestMethod().toString(), exchange.getRequestPath(), body);
        try {
            handler.handle(request, this::respond);
        } catch (RuntimeException e) {
            LOG.error("request handler failed: method={} path={}", request.method(), request.path(), e);
            if (phase == Phase.HANDLING) {
                respond(Response.unavailable(RETRY_AFTER_FAULT));
            }
        }
    }

    private void respond(Response response) {
        if (phase.compareTo(Phase.SENDING) >= 0 || exchange.isResponseStarted()) {
            reportFailure(ExchangeFailure.LATE_RESPONSE);
            return;
        }
        phase = Phase.SENDING;
        exchange.setStatusCode(response.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        if (response.retryAfter() != null) {
            exchange.getResponseHeaders()
                    .put(
                            Headers.RETRY_AFTER,
                            Long.toString(Math.max(1, response.retryAfter().toSeconds())));
        }
        if (response.close() || closesConnection.getAsBoolean()) {
            exchange.setPersistent(false);
        }
        byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
        exchange.setResponseContentLength(body.length);
        exchange.getResponseSender().send(ByteBuffer.wrap(body), new SendCallback());
        if (phase == Phase.SENDING) {
            restartTimeout();
        }
    }

    /** Ends the exchange when its response has been sent, or could not be sent. */
    private final class SendCallback implements IoCallback {
        @Override
        public void onComplete(HttpServerExchange sent, Sender sender) {
            phase = Phase.SENT;
            END_EXCHANGE.onComplete(sent, sender);
        }

        @Override
        public void onException(HttpServerExchange failed, Sender sender, IOException error) {
            reportFailure(ExchangeFailure.UNDELIVERED_RESPONSE);
            END_EXCHANGE.onException(failed, sender, error);
        }
    }

    /** Starts the timeout unless the exchange has ended or a timeout is pending. */
    private void ensureTimeout() {
        if (phase != Phase.ENDED && timeoutKey == null) {
            restartTimeout();
        }
    }

    private void restartTimeout() {
        cancelTimeout();
        timeoutKey = loop.afterCancellable(timeout, this::timedOut);
    }

    private void cancelTimeout() {
        if (timeoutKey != null) {
            timeoutKey.remove();
            timeoutKey = null;
        }
    }

    private void timedOut() {
        timeoutKey = null;
        switch (phase) {
            case RECEIVING -> {
                reportFailure(ExchangeFailure.REQUEST_TIMEOUT);
                closeConnection();
            }
            case HANDLING -> {
                reportFailure(ExchangeFailure.HANDLER_TIMEOUT);
                respond(TIMED_OUT);
                ensureTimeout();
            }
            case SENDING -> {
                reportFailure(ExchangeFailure.UNDELIVERED_RESPONSE);
                closeConnection();
            }
            default -> closeConnection();
        }
    }

    private void closeConnection() {
        phase = Phase.ENDED;
        IoUtils.safeClose(exchange.getConnection());
    }

    private void ended() {
        cancelTimeout();
        if (phase == Phase.RECEIVING) {
            reportFailure(ExchangeFailure.INCOMPLETE_REQUEST);
        } else if (phase == Phase.HANDLING) {
            reportFailure(ExchangeFailure.MISSING_RESPONSE);
        }
        phase = Phase.ENDED;
    }

    private void reportFailure(ExchangeFailure failure) {
        failureListener.exchangeFailed(failure, exchange.getRequestMethod().toString(), exchange.getRequestPath());
    }
}
