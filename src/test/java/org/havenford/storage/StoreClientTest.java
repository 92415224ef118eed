package org.havenford.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonObject;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.havenford.testing.ManualLoop;
import org.havenford.transport.HttpCalls;
import org.junit.jupiter.api.Test;

/** Tests the queueing of calls that exceed this controller's share of the store's limits. */
class StoreClientTest {
    private final ManualLoop loop = new ManualLoop(Instant.EPOCH);
    private final List<String> sent = new ArrayList<>();
    /** Records the body of each call and answers it at once. */
    private final HttpCalls calls = new HttpCalls() {
        @Override
        public void call(
                String address, String method, String path, String body, Duration timeout, Consumer<Reply> done) {
            sent.add(body);
            done.accept(new Reply(200, "{\"edition\":7}"));
        }
    };

    /** A client with a limit of five writes per second for a single controller. */
    private final StoreClient store = new StoreClient(loop, calls, "state:1", new StoreLimits(100, 5, 5), 1);

    private static Transaction transactionWithPuts(int count) {
        Transaction transaction = new Transaction();
        for (int i = 0; i < count; i++) {
            transaction.put("live/x/" + i, new JsonObject());
        }
        return transaction;
    }

    /** A queued transaction whose conditions no longer hold is not sent, and the next one is sent in its place. */
    @Test
    void aQueuedTransactionThatHasBecomeStaleIsNotSent() {
        List<StoreOutcome> outcomes = new ArrayList<>();
        boolean[] current = {true};
        store.commit(transactionWithPuts(4), CallPriority.CLAIM, result -> outcomes.add(result.outcome()));
        store.commit(
                transactionWithPuts(2), CallPriority.CLAIM, () -> current[0], result -> outcomes.add(result.outcome()));
        store.commit(transactionWithPuts(1), CallPriority.CLAIM, result -> outcomes.add(result.outcome()));
        assertEquals(List.of(StoreOutcome.OK), outcomes, "the other transactions wait for the limit of writes");
        current[0] = false;
        loop.runFor(Duration.ofSeconds(3));
        assertEquals(List.of(StoreOutcome.OK, StoreOutcome.STALE, StoreOutcome.OK), outcomes);
        assertEquals(2, sent.size());
    }
}
