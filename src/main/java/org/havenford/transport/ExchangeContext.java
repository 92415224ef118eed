package org.havenford.transport;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.havenford.transport.HttpServer.Handler;

/**
 * What all exchanges of an HTTP server share.
 *
 * @param timeout the longest time for each of receiving and handling a request, and sending the response
 * @param closesConnection returns whether the connection is closed after the response
 * @param incompleteRequests holds each connection until its request has been received
 */
record ExchangeContext(
        Handler handler,
        XnioLoop loop,
        Duration timeout,
        ExchangeFailureListener failureListener,
        BooleanSupplier closesConnection,
        IncompleteRequests incompleteRequests) {}
