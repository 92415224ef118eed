package org.havenford.transport;

import java.time.Duration;
import java.util.function.Consumer;

/** Outgoing HTTP calls. The callback of a call runs exactly once, on the event loop. */
public interface HttpCalls {
    /** The request was not sent, so the server will never execute it. */
    int NOT_SENT = 0;
    /** The request was sent and got no complete response: the server may have executed it, or may do so later. */
    int NO_ANSWER = -1;

    /** An HTTP response. If there was none, the status is {@link #NOT_SENT} or {@link #NO_ANSWER}. */
    record Reply(int status, String body) {
        /** Returns whether the status is 200. */
        public boolean ok() {
            return status == 200;
        }
    }

    /** Sends a request and passes the reply to a callback, at the latest when the timeout expires. */
    void call(String address, String method, String path, String body, Duration timeout, Consumer<Reply> callback);
}
