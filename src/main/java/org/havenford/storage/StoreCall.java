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
     */
    record Request(String method, String path, String body, int operationCount, Duration timeout) {}

    /** Completes the call with an outcome that does not come from a response. */
    void completeWithoutResponse(StoreOutcome outcome) {
        callback.accept(StoreResult.withoutResponse(outcome));
    }
}
