package org.havenford.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;
import org.junit.jupiter.api.Test;

/** Tests what is parsed from the store's responses. */
class StoreResultTest {
    private static StoreResult result(StoreOutcome outcome, String body) throws MalformedMessageException {
        return new StoreResult(outcome, Json.object(body));
    }

    @Test
    void aKeyIsParsedWithItsValueAndModRevision() throws MalformedMessageException {
        StoreResult read = result(StoreOutcome.OK, "{\"k\":\"a/b\",\"v\":{\"x\":1},\"stamp\":412,\"permit\":7}");
        JsonObject value = new JsonObject();
        value.addProperty("x", 1);
        assertEquals(value.toString(), read.value().toString());
        assertEquals(412, read.modRevision());
        assertEquals(7, read.leaseId());
        assertEquals(0, read.revision(), "the response contains no store revision");
    }

    @Test
    void aConflictContainsItsKeysAndTheRevision() throws MalformedMessageException {
        StoreResult conflict = result(StoreOutcome.CONFLICT, "{\"failed\":[\"a/b\"],\"edition\":431}");
        assertEquals(List.of("a/b"), conflict.conflictingKeys());
        assertEquals(431, conflict.revision());
    }

    @Test
    void eventsAreVisitedInOrderUpToTheFirstMalformedOne() throws MalformedMessageException {
        StoreResult watch = result(
                StoreOutcome.OK,
                "{\"log\":[{\"set\":\"c/9\",\"v\":{},\"stamp\":433},{\"delete\":\"c/d\",\"stamp\":432},{\"stamp\":434}]}");
        List<String> visited = new ArrayList<>();
        MalformedMessageException error = assertThrows(
                MalformedMessageException.class,
                () -> watch.visitEvents(
                        (key, value, modRevision) -> visited.add(key + " " + value + " " + modRevision)));
        assertEquals(List.of("c/9 {} 433", "c/d null 432"), visited);
        assertEquals("delete is missing", error.getMessage());
    }

    @Test
    void aPageIndicatesWhetherMoreKeysFollow() throws MalformedMessageException {
        StoreResult page =
                result(StoreOutcome.OK, "{\"items\":[{\"k\":\"c/8\",\"v\":{},\"stamp\":5}],\"truncated\":true}");
        List<String> keys = new ArrayList<>();
        page.visitEntries((key, value, modRevision) -> keys.add(key));
        assertEquals(List.of("c/8"), keys);
        assertTrue(page.hasMorePages());
    }
}
