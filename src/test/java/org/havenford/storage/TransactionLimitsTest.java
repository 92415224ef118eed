package org.havenford.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests that transactions with optional parts keep to the limits of the store. */
class TransactionLimitsTest {
    private static final int VALUE_BYTES = 8 * 1024;
    private final TransactionLimits limits = new TransactionLimits(12, VALUE_BYTES);

    private static Transaction part(int number, int textLength) {
        JsonObject value = new JsonObject();
        value.addProperty("text", "ü\"".repeat(textLength));
        String key = "live/job/j-" + number;
        return new Transaction().requireRevision(key, 1000 + number).put(key, value);
    }

    private Transaction largestAllowed(int textLength) {
        Transaction transaction = new Transaction();
        int number = 0;
        while (transaction.addIfAllowed(part(number, textLength), limits)) {
            number++;
        }
        return transaction;
    }

    private static int bodyBytes(Transaction transaction) {
        return StoreWireCodec.transactionBody(transaction).getBytes(StandardCharsets.UTF_8).length;
    }

    @Test
    void sizeCoversTheEncodedRequest() {
        Transaction transaction = part(1, 30).addAll(part(2, 7)).delete("live/job/j-3");
        int bytes = bodyBytes(transaction);
        assertTrue(transaction.encodedBytes() >= bytes && transaction.encodedBytes() <= bytes + 2);
    }

    @Test
    void partsAreAddedUpToTheLimitsOfOperationsAndBytes() {
        assertEquals(12, largestAllowed(1).operationCount());
        Transaction large = largestAllowed(1900);
        assertTrue(large.operationCount() < 12 && bodyBytes(large) < 64 * 1024, () -> "" + bodyBytes(large));
    }

    /** Guards against a transaction that is refused for its size and built again unchanged. */
    @Test
    void theNextTransactionIsSmallerThanARejectedOne() {
        int previousBytes = Integer.MAX_VALUE;
        Transaction rejected = largestAllowed(1000);
        while (rejected.encodedBytes() > VALUE_BYTES) {
            assertTrue(rejected.encodedBytes() < previousBytes);
            previousBytes = rejected.encodedBytes();
            assertTrue(limits.recordRejected(rejected));
            rejected = largestAllowed(1000);
        }
        assertFalse(limits.recordRejected(rejected), "a transaction of one value cannot be made smaller");
        assertTrue(limits.maxBytes() >= VALUE_BYTES);
    }
}
