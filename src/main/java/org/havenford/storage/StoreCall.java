package org.havenford.storage;

import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * A call that is queued or in flight.
 *
 * @param deadline the time after which the call is no longer sent
 * @param isCurrent evaluated just before the call is sent; if false, the call is not sent
 * @param callback receives the result once
 */
record StoreCall(
        CallPriority priority,
        Request request,
        Instant deadline,
        BooleanSupplier isCurrent,
        Consumer<StoreResult> callback) {

    /**
     * The HTTP request of a call.
     *
     * @param body the body, or null if there is none
     * @param operationCount number of operations that count towards the store's limit of writes
     * @param timeout the longest time to wait for the response
     * @param responseBody whether the responses have a body
     */
    record Request(
            String method, String path, String body, int operationCount, Duration timeout, ResponseBody responseBody) {}

    /** Whether the responses to a call have a body. */
    enum ResponseBody {
        /** A response that says what the store did or found contains a JSON object. */
        REQUIRED,
        /** The status says all. */
        OPTIONAL
    }

    /** Completes the call with an outcome that does not come from a response. */
    void completeWithoutResponse(StoreOutcome outcome) {
        callback.accept(StoreResult.withoutResponse(outcome));
    }
}
