package org.havenford.storage;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;

/**
 * Encoder and decoder of the store's protocol: paths and bodies of requests, fields of responses. No other class
 * contains the names that the protocol uses.
 */
final class StoreWireCodec {
    /** Path of transactions. */
    static final String TRANSACTIONS_PATH = "/multi";
    /** Path under which leases are created. */
    static final String LEASES_PATH = "/holds";

    private static final int KEYS_PER_PAGE = 500;

    private static final String KEY = "k";
    private static final String VALUE = "v";
    private static final String MOD_REVISION = "stamp";
    private static final String REVISION = "edition";
    private static final String LEASE_ID = "permit";
    private static final String CONDITIONS = "guards";
    private static final String OPERATIONS = "writes";
    private static final String PUT = "set";
    private static final String DELETE = "delete";
    private static final String FAILED_CONDITIONS = "failed";
    private static final String ENTRIES = "items";
    private static final String MORE_PAGES = "truncated";
    private static final String EVENTS = "log";

    /** Size of the body of a request for a transaction without conditions and operations. */
    static final int EMPTY_TRANSACTION_BYTES =
            transactionBody(new Transaction()).length();

    private static final int SEPARATOR_BYTES = 1;

    private StoreWireCodec() {}

    /** Returns the path of one key. */
    static String keyPath(String key) {
        return "/store/" + key;
    }

    /** Returns the path of a page of keys, starting after the key {@code after}, or at the first if it is null. */
    static String pagePath(String prefix, String after) {
        return "/store?prefix=" + prefix + (after == null ? "" : "&since=" + after) + "&limit=" + KEYS_PER_PAGE;
    }

    /** Returns the path of a watch for changes after a revision. */
    static String watchPath(String prefix, long revision, Duration timeout) {
        return "/changes?prefix=" + prefix + "&since=" + revision + "&blockMs=" + timeout.toMillis();
    }

    /** Returns the path of one lease. */
    static String leasePath(long leaseId) {
        return LEASES_PATH + "/" + leaseId;
    }

    /** Returns the path that renews a lease. */
    static String renewalPath(long leaseId) {
        return leasePath(leaseId) + "/touch";
    }

    /** Returns the body of a request that creates a lease. */
    static String leaseRequestBody(Duration duration) {
        return "{\"lifeMs\":" + duration.toMillis() + "}";
    }

    /** Returns the body of a transaction request. */
    static String transactionBody(Transaction transaction) {
        JsonArray conditions = new JsonArray(transaction.conditionCount());
        transaction.conditions().forEach(condition -> conditions.add(conditionJson(condition)));
        JsonArray operations = new JsonArray(transaction.operationCount());
        transaction.operations().forEach(operation -> operations.add(operationJson(operation)));
        JsonObject body = new JsonObject();
        body.add(CONDITIONS, conditions);
        body.add(OPERATIONS, operations);
        return body.toString();
    }

    /** Returns the number of bytes by which a condition makes the body of a request longer. */
    static int encodedBytes(Transaction.Condition condition) {
        return length(conditionJson(condition)) + SEPARATOR_BYTES;
    }

    /** Returns the number of bytes by which an operation makes the body of a request longer. */
    static int encodedBytes(Transaction.Operation operation) {
        return length(operationJson(operation)) + SEPARATOR_BYTES;
    }

    private static int length(JsonObject json) {
        return json.toString().getBytes(StandardCharsets.UTF_8).length;
    }

    private static JsonObject conditionJson(Transaction.Condition condition) {
        JsonObject json = new JsonObject();
        json.addProperty(KEY, condition.key());
        json.addProperty(MOD_REVISION, condition.modRevision());
        return json;
    }

    private static JsonObject operationJson(Transaction.Operation operation) {
        JsonObject json = new JsonObject();
        if (operation instanceof Transaction.Put put) {
            json.addProperty(PUT, put.key());
            json.add(VALUE, put.value());
            put.leaseId().ifPresent(id -> json.addProperty(LEASE_ID, id));
        } else {
            json.addProperty(DELETE, operation.key());
        }
        return json;
    }

    /** Returns the store revision in a response, or 0 if there is none. */
    static long revision(JsonObject body) throws MalformedMessageException {
        return Json.countOr(body, REVISION, 0);
    }

    /** Returns the id of the lease that was created. */
    static long leaseId(JsonObject body) throws MalformedMessageException {
        return Json.count(body, LEASE_ID);
    }

    /** Returns the value of the key that was read. */
    static JsonObject value(JsonObject body) throws MalformedMessageException {
        return Json.child(body, VALUE);
    }

    /** Returns the mod revision of the key that was read. */
    static long modRevision(JsonObject body) throws MalformedMessageException {
        return Json.count(body, MOD_REVISION);
    }

    /** Returns the keys whose conditions did not hold. */
    static List<String> conflictingKeys(JsonObject body) throws MalformedMessageException {
        return Json.texts(body, FAILED_CONDITIONS);
    }

    /** Returns whether more keys follow those of this page. */
    static boolean hasMorePages(JsonObject body) throws MalformedMessageException {
        return Json.flagOr(body, MORE_PAGES, false);
    }

    /** Visits the keys of a page in order, up to the first malformed entry. */
    static void visitEntries(JsonObject body, KeyVisitor visitor) throws MalformedMessageException {
        for (JsonObject entry : Json.objects(body, ENTRIES)) {
            String key = Json.text(entry, KEY);
            visitor.visit(key, entry.get(VALUE), Json.count(entry, MOD_REVISION));
        }
    }

    /** Visits the changes that a watch returned in order, up to the first malformed one; returns their number. */
    static int visitEvents(JsonObject body, KeyVisitor visitor) throws MalformedMessageException {
        List<JsonObject> events = Json.objects(body, EVENTS);
        for (JsonObject event : events) {
            long modRevision = Json.count(event, MOD_REVISION);
            if (Json.has(event, PUT)) {
                visitor.visit(Json.text(event, PUT), event.get(VALUE), modRevision);
            } else {
                visitor.visit(Json.text(event, DELETE), null, modRevision);
            }
        }
        return events.size();
    }

    /** Receives the keys of a response. It takes separate parameters so that no object is allocated for each key. */
    @FunctionalInterface
    interface KeyVisitor {
        /** Receives one key; {@code value} is null if the key was deleted. */
        void visit(String key, JsonElement value, long modRevision);
    }
}
