package org.havenford.transport;

/** Receives the failed exchanges of an HTTP server, on its event loop. */
@FunctionalInterface
interface ExchangeFailureListener {
    /** Called once for each failure; an exchange whose response comes late has two. */
    void exchangeFailed(ExchangeFailure failure, String method, String path);
}
