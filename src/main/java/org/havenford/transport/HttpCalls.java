package org.havenford.transport;

import java.time.Duration;
import java.util.function.Consumer;

/** Outgoing HTTP calls. The callback runs exactly once, on the event loop. */
public interface HttpCalls {
    /** Nothing was sent: the request can't be carried out later. */
    int NOT_SENT = 0;
    /** Sent, no answer: it may have been carried out, or may yet be. */
    int NO_ANSWER = -1;

    /** An HTTP response, or one of the substitutes {@link #NOT_SENT} and {@link #NO_ANSWER}. */
    record Reply(int status, String body) {
        /** Whether the status is 200. */
        public boolean ok() {
            return status == 200;
        }
    }

    /** Sends a request; {@code done} is told the response, or that there was none in time. */
    void call(String address, String method, String path, String body, Duration timeout, Consumer<Reply> done);
}
