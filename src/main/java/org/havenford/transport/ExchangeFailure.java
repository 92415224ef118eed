package org.havenford.transport;

/** Reasons why a request was not handled, or why its client did not get the response of the handler. */
enum ExchangeFailure {
    /** The body ended early or was malformed, so the request was not handled. */
    INCOMPLETE_REQUEST,
    /** The body did not arrive in time, so the request was not handled. */
    REQUEST_TIMEOUT,
    /** The handler gave no response in time. */
    HANDLER_TIMEOUT,
    /** The handler gave a response when the exchange had been answered or had ended already. */
    LATE_RESPONSE,
    /** The response could not be sent, for example because the client had closed the connection. */
    UNDELIVERED_RESPONSE,
    /** The exchange ended before its handler gave a response. */
    MISSING_RESPONSE
}
