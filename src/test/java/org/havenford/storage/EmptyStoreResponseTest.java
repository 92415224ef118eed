package org.havenford.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.havenford.testing.ManualLoop;
import org.havenford.transport.HttpCalls;
import org.havenford.transport.HttpCalls.Reply;
import org.junit.jupiter.api.Test;

/** Tests the outcomes of calls that are answered with a status and an empty body. */
class EmptyStoreResponseTest {
    private static final StoreLimits LIMITS = new StoreLimits(100, 50, 50);
    private final ManualLoop loop = new ManualLoop(Instant.EPOCH);
    private final List<StoreOutcome> outcomes = new ArrayList<>();

    private StoreClient storeThatAnswers(int status) {
        HttpCalls calls = (address, method, path, body, timeout, done) -> done.accept(new Reply(status, ""));
        return new StoreClient(loop, calls, "state:1", LIMITS, 1);
    }

    private void addOutcome(StoreResult result) {
        outcomes.add(result.outcome());
    }

    private void commit(int status) {
        storeThatAnswers(status).commit(new Transaction().requireRevision("a", 0), CallPriority.USER, this::addOutcome);
    }

    /** Guards against submissions and cancellations that are confirmed on the strength of a status alone. */
    @Test
    void transactionWithoutARevisionIsOfUnknownOutcome() {
        commit(200);
        commit(409);
        assertEquals(List.of(StoreOutcome.UNKNOWN, StoreOutcome.UNKNOWN), outcomes);
    }

    /** Guards against accepted jobs that are answered 404, and against a replica that stops following the store. */
    @Test
    void readWithoutAValueOrRevisionIsOfUnknownOutcome() {
        storeThatAnswers(200).get("a", CallPriority.USER, this::addOutcome);
        storeThatAnswers(404).get("a", CallPriority.USER, this::addOutcome);
        storeThatAnswers(200).list("a", null, this::addOutcome);
        storeThatAnswers(200).watch("a", 1, Duration.ZERO, this::addOutcome);
        storeThatAnswers(200).createLease(Duration.ofSeconds(1), this::addOutcome);
        assertEquals(List.of(StoreOutcome.UNKNOWN), outcomes.stream().distinct().toList());
        assertEquals(5, outcomes.size());
    }

    @Test
    void statusSaysAllWhereTheProtocolNamesNoBody() {
        storeThatAnswers(200).renewLease(7, this::addOutcome);
        storeThatAnswers(404).renewLease(7, this::addOutcome);
        storeThatAnswers(200).endLease(7, this::addOutcome);
        commit(503);
        assertEquals(
                List.of(StoreOutcome.OK, StoreOutcome.ABSENT, StoreOutcome.OK, StoreOutcome.NOT_EXECUTED), outcomes);
    }
}
