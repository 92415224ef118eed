package org.havenford.simulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.havenford.transport.HttpCalls.Reply;

/** Simulates the state service: a key-value store with transactions, leases, watches, rate limits and size limits. */
final class SimulatedStore implements ClusterSimulator.Server {
    private static final String WATCH_PATH = "/changes";
    private static final String TRANSACTION_PATH = "/multi";
    private static final String LEASES_PATH = "/holds";
    private static final String VALUE_PATH = "/store/";
    private static final String MACHINE_BATCH_PREFIX = "live/machine/";
    private static final String MEMBER_PREFIX = "live/member/";
    /** Small, so that listing the keys of a small cluster takes several pages. */
    private static final int DEFAULT_PAGE_SIZE = 7;

    private static final int DEFAULT_MAX_OPERATIONS = 12;

    /** A stored value, its mod revision and the id of the lease that it is bound to, if any. */
    record StoredValue(JsonElement json, long modRevision, OptionalLong leaseId) {}

    private final ClusterSimulator simulator;
    private final StoreLeases leases;
    private final StoreRateLimiter rateLimiter;
    final StoreWatches watches;
    final TreeMap<String, StoredValue> values = new TreeMap<>();
    private long revision = 1;
    /** Number of requests that passed the rate limits. */
    int requests;
    /** Number of operations in the transactions that passed the rate limits. */
    int acceptedOperations;
    /** Number of requests that were rejected with status 429 because of the rate limits. */
    int refused;
    /** Number of transactions that were rejected because a condition failed. */
    int conflicts;
    /** Number of operations that deleted a member key: evictions of members whose lease had not yet expired. */
    int evictions;
    /** Number of applied operations, by kind ({@code set} or {@code delete}) and {@link #keyCategory}. */
    final TreeMap<String, Integer> changesByKeyCategory = new TreeMap<>();
    /** Number of failed conditions, by {@link #keyCategory}. */
    final TreeMap<String, Integer> conflictsByKeyCategory = new TreeMap<>();
    /** Whether the service is unavailable: it answers requests with status 503, and watches not at all. */
    boolean outage;

    int pageSize = DEFAULT_PAGE_SIZE;
    /** How long after their arrival late transactions are applied. */
    Duration lateTransactionDelay;
    /** Number of upcoming transactions that are applied late and never answered. */
    int lateTransactions;
    /** Number of upcoming transactions that are applied at once but never answered. */
    int unansweredTransactions;

    /** The maximum length of a value in characters. {@link #lowerLimits()} lowers this limit and the next ones. */
    private int maxValueLength;

    private int maxOperations = DEFAULT_MAX_OPERATIONS;
    private double maxChangesPerSecond;
    /** Whether a value beyond the size limit is rejected with status 400 and counted; otherwise it fails the test. */
    boolean rejectsTooLarge;
    /** Number of transactions that were rejected for a value beyond the size limit. */
    int rejectedTooLarge;

    SimulatedStore(ClusterSimulator simulator) {
        this.simulator = simulator;
        this.leases = new StoreLeases(simulator, () -> outage, this::deleteKeysBoundTo);
        this.rateLimiter = new StoreRateLimiter(simulator);
        this.watches = new StoreWatches(simulator, () -> outage, () -> revision);
        this.maxValueLength = simulator.commonSettings.currentValueBytes();
        this.maxChangesPerSecond = simulator.commonSettings.storeWritesPerSecond();
    }

    /** Lowers the limits to the future ones that the platform settings announce. */
    void lowerLimits() {
        maxValueLength = simulator.commonSettings.valueBytes();
        maxOperations = simulator.commonSettings.maxTransactionOperations();
        maxChangesPerSecond = simulator.commonSettings.nextStoreWritesPerSecond();
    }

    /** Returns whether any value whose key has the prefix contains the text in its JSON form. */
    boolean anyValueContains(String prefix, String text) {
        return values.entrySet().stream()
                .anyMatch(entry -> entry.getKey().startsWith(prefix)
                        && entry.getValue().json.toString().contains(text));
    }

    /** Returns the value of a key, or null if the key does not exist. */
    JsonElement value(String key) {
        StoredValue value = values.get(key);
        return value == null ? null : value.json;
    }

    /**
     * Overwrites the zone in the stored batch that contains a machine. This simulates a controller that writes a wrong
     * record, not a fault of the network.
     */
    void forgeZone(String machine, String zone) {
        for (Map.Entry<String, StoredValue> entry : List.copyOf(values.entrySet())) {
            if (entry.getKey().startsWith(MACHINE_BATCH_PREFIX)
                    && entry.getValue()
                            .json
                            .getAsJsonObject()
                            .getAsJsonObject("m")
                            .has(machine)) {
                JsonObject batch = entry.getValue().json.getAsJsonObject().deepCopy();
                batch.addProperty("z", zone);
                revision++;
                set(entry.getKey(), batch, OptionalLong.empty());
            }
        }
        watches.notifyWatches();
    }

    /** Makes the service available again, renews all leases and answers pending watches. */
    void endOutage() {
        outage = false;
        leases.renewAll();
        watches.notifyWatches();
    }

    private void set(String key, JsonElement value, OptionalLong leaseId) {
        values.put(key, new StoredValue(value, revision, leaseId));
        watches.recordSet(key, value);
    }

    private void delete(String key) {
        values.remove(key);
        watches.recordDelete(key);
    }

    /** Deletes all keys that are bound to a lease, in one revision. */
    private void deleteKeysBoundTo(long leaseId) {
        OptionalLong expired = OptionalLong.of(leaseId);
        List<String> keys = values.entrySet().stream()
                .filter(entry -> entry.getValue().leaseId.equals(expired))
                .map(Map.Entry::getKey)
                .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::delete);
            watches.notifyWatches();
        }
    }

    private boolean admit(String path, String body) {
        int operations = path.equals(TRANSACTION_PATH) ? StoreTransaction.countOperations(body) : 0;
        boolean admitted = rateLimiter.tryAcquire(
                simulator.commonSettings.storeRequestsPerSecond(), maxChangesPerSecond, operations);
        if (admitted) {
            requests++;
            acceptedOperations += operations;
        } else {
            refused++;
        }
        return admitted;
    }

    @Override
    public void handle(String method, String path, String body, Consumer<Reply> callback) {
        if (!outage && !admit(path, body)) {
            callback.accept(new Reply(429, "{\"error\":\"too many\"}"));
        } else if (path.startsWith(WATCH_PATH)) {
            Map<String, String> query = queryParameters(path);
            watches.addWatch(
                    new StoreWatches.Watch(query.get("prefix"), Long.parseLong(query.get("since")), callback),
                    Long.parseLong(query.getOrDefault("blockMs", "0")));
        } else if (outage) {
            callback.accept(new Reply(503, "{\"error\":\"trouble\"}"));
        } else if (path.equals(TRANSACTION_PATH)) {
            handleTransaction(body, callback);
        } else if (path.startsWith(LEASES_PATH)) {
            callback.accept(handleLeaseRequest(method, path, body));
        } else if (path.startsWith(VALUE_PATH)) {
            callback.accept(readKey(path.substring(VALUE_PATH.length())));
        } else {
            callback.accept(listPage(queryParameters(path)));
        }
    }

    private void handleTransaction(String body, Consumer<Reply> callback) {
        if (unansweredTransactions > 0) {
            unansweredTransactions--;
            apply(StoreTransaction.parse(body));
        } else if (lateTransactions > 0) {
            // The sender times out, but the transaction is applied nevertheless.
            lateTransactions--;
            simulator.after(lateTransactionDelay, () -> apply(StoreTransaction.parse(body)));
        } else {
            callback.accept(apply(StoreTransaction.parse(body)));
        }
    }

    private Reply handleLeaseRequest(String method, String path, String body) {
        if (path.equals(LEASES_PATH)) {
            JsonObject json = JsonParser.parseString(body).getAsJsonObject();
            long id = leases.grant(Duration.ofMillis(json.get("lifeMs").getAsLong()));
            return new Reply(200, "{\"permit\":" + id + "}");
        }
        long id = Long.parseLong(path.split("/")[2]);
        boolean found;
        if (path.endsWith("/touch")) {
            found = leases.renew(id);
        } else if (method.equals("DELETE")) {
            found = leases.release(id);
        } else {
            throw new AssertionError("request is not part of the state service's protocol: " + method + " " + path);
        }
        return new Reply(found ? 200 : 404, "{}");
    }

    private Reply readKey(String key) {
        StoredValue value = values.get(key);
        return value == null
                ? new Reply(404, "{\"edition\":" + revision + "}")
                : new Reply(200, toJson(key, value).toString());
    }

    /** Returns a page of the keys with a prefix, sorted by key. */
    private Reply listPage(Map<String, String> query) {
        String prefix = query.get("prefix");
        JsonArray items = new JsonArray();
        boolean truncated = false;
        for (Map.Entry<String, StoredValue> entry :
                values.tailMap(query.getOrDefault("since", ""), false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                continue;
            }
            if (items.size() >= pageSize) {
                truncated = true;
                break;
            }
            items.add(toJson(entry.getKey(), entry.getValue()));
        }
        JsonObject json = new JsonObject();
        json.add("items", items);
        json.addProperty("truncated", truncated);
        json.addProperty("edition", revision);
        return new Reply(200, json.toString());
    }

    private static JsonObject toJson(String key, StoredValue value) {
        JsonObject json = new JsonObject();
        json.addProperty("k", key);
        json.add("v", value.json);
        json.addProperty("stamp", value.modRevision);
        return json;
    }

    private static Map<String, String> queryParameters(String path) {
        Map<String, String> query = new HashMap<>();
        for (String parameter : path.substring(path.indexOf('?') + 1).split("&")) {
            String[] nameAndValue = parameter.split("=", 2);
            query.put(nameAndValue[0], nameAndValue[1]);
        }
        return query;
    }

    private Reply apply(StoreTransaction transaction) {
        if (transaction.exceeds(maxOperations)) {
            throw new AssertionError("transaction exceeds the limits of the state service: " + transaction);
        }
        Set<String> failedKeys = failedConditions(transaction);
        if (!transaction.operations().stream().allMatch(operation -> leases.allowsLeaseId(operation.leaseId()))) {
            return new Reply(400, "{\"error\":\"no such lease\"}");
        }
        if (rejectsTooLarge && transaction.longestValueLength() > maxValueLength) {
            rejectedTooLarge++;
            return new Reply(400, "{\"error\":\"too large\"}");
        }
        if (!failedKeys.isEmpty()) {
            return conflict(failedKeys);
        }
        if (!transaction.operations().isEmpty()) {
            revision++;
        }
        transaction.operations().forEach(this::apply);
        watches.notifyWatches();
        return new Reply(200, "{\"edition\":" + revision + "}");
    }

    private Set<String> failedConditions(StoreTransaction transaction) {
        Set<String> failedKeys = new HashSet<>();
        for (StoreTransaction.Condition condition : transaction.conditions()) {
            StoredValue value = values.get(condition.key());
            if ((value == null ? 0 : value.modRevision) != condition.modRevision()) {
                failedKeys.add(condition.key());
            }
        }
        return failedKeys;
    }

    private Reply conflict(Set<String> failedKeys) {
        conflicts++;
        JsonArray keys = new JsonArray();
        failedKeys.forEach(keys::add);
        failedKeys.forEach(key -> conflictsByKeyCategory.merge(keyCategory(key), 1, Integer::sum));
        JsonObject json = new JsonObject();
        json.add("failed", keys);
        json.addProperty("edition", revision);
        return new Reply(409, json.toString());
    }

    private void apply(StoreTransaction.Operation operation) {
        String key = operation.key();
        changesByKeyCategory.merge((operation.isDelete() ? "delete " : "set ") + keyCategory(key), 1, Integer::sum);
        if (operation.isDelete()) {
            if (key.startsWith(MEMBER_PREFIX)) {
                evictions++;
            }
            delete(key);
            return;
        }
        if (operation.valueLength() > maxValueLength) {
            throw new AssertionError("value exceeds the size limit of the state service: " + operation);
        }
        set(key, operation.value(), operation.leaseId());
    }

    /** Returns the category of a key: its first segment, or its first two if it starts with {@code live/}. */
    private static String keyCategory(String key) {
        String[] parts = key.split("/");
        return key.startsWith("live/") && parts.length > 1 ? parts[0] + "/" + parts[1] : parts[0];
    }
}
