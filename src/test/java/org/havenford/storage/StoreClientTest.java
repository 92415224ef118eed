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

/** How calls wait for their turn at the state service. */
class StoreClientTest {
    private final ManualLoop loop = new ManualLoop(Instant.EPOCH);
    private final List<String> sent = new ArrayList<>();
    /** Answers every call at once. */
    private final HttpCalls calls = new HttpCalls() {
        @Override
        public void call(
                String address, String method, String path, String body, Duration timeout, Consumer<Reply> done) {
            sent.add(body);
            done.accept(new Reply(200, "{\"edition\":7}"));
        }
    };

    /** Five changes a second for this controller alone. */
    private final StoreClient store = new StoreClient(loop, calls, "state:1", new StoreLimits(100, 5, 5), 1);

    private static Transaction changes(int n) {
        Transaction transaction = new Transaction();
        for (int i = 0; i < n; i++) {
            transaction.put("live/x/" + i, new JsonObject());
        }
        return transaction;
    }

    /** What would only fail is not sent when its turn comes; what is behind it goes in its place. */
    @Test
    void aTransactionThatHasBecomeStaleIsNotSent() {
        List<StoreOutcome> outcomes = new ArrayList<>();
        boolean[] current = {true};
        store.commit(changes(4), CallPriority.CLAIM, result -> outcomes.add(result.outcome()));
        store.commit(changes(2), CallPriority.CLAIM, () -> current[0], result -> outcomes.add(result.outcome()));
        store.commit(changes(1), CallPriority.CLAIM, result -> outcomes.add(result.outcome()));
        assertEquals(List.of(StoreOutcome.OK), outcomes, "the others wait for the limit");
        current[0] = false;
        loop.runFor(Duration.ofSeconds(3));
        assertEquals(List.of(StoreOutcome.OK, StoreOutcome.STALE, StoreOutcome.OK), outcomes);
        assertEquals(2, sent.size());
    }
}
