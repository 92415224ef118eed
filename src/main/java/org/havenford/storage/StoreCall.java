package org.havenford.storage;

import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * A call that waits for its turn, or whose response is awaited.
 *
 * @param deadline when it is no longer sent
 * @param isCurrent asked when its turn has come; if false, it is not sent
 * @param callback told the outcome once
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
     * @param body null if it has none
     * @param operationCount operations that count towards the store's limit of writes
     * @param timeout how long its response is awaited
     */
    record Request(String method, String path, String body, int operationCount, Duration timeout) {}

    /** Ends the call with an outcome that no response tells about. */
    void completeWithoutResponse(StoreOutcome outcome) {
        callback.accept(StoreResult.withoutResponse(outcome));
    }
}
