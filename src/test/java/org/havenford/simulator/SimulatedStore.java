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
    private static final String CHANGES_PATH = "/changes";
    private static final String TRANSACTION_PATH = "/multi";
    private static final String LEASES_PATH = "/holds";
    private static final String VALUE_PATH = "/store/";
    private static final String BATCH_PREFIX = "live/machine/";
    private static final String MEMBER_PREFIX = "live/member/";
    /** Small, so that listing the keys of a small cluster takes several pages. */
    private static final int DEFAULT_PAGE_SIZE = 7;

    private static final int DEFAULT_MAX_OPERATIONS = 12;

    /** A stored value, its mod revision and the id of the lease that it is bound to, if any. */
    record StoredValue(JsonElement json, long revision, OptionalLong lease) {}

    private final ClusterSimulator simulator;
    private final StoreLeases leases;
    private final StoreRateLimiter rateLimiter;
    final StoreWatches watches;
    final TreeMap<String, StoredValue> values = new TreeMap<>();
    private long revision = 1;
    /** Number of requests that passed the rate limits. */
    int requests;
    /** Number of operations in the transactions that passed the rate limits. */
    int written;
    /** Number of requests that were rejected with status 429 because of the rate limits. */
    int refused;
    /** Number of transactions that were rejected because a condition failed. */
    int conflicts;
    /** Number of operations that deleted a member key: evictions of members whose lease had not yet expired. */
    int evictions;
    /** Number of applied operations by {@code set} or {@code delete} and category of the key, see {@link #kind}. */
    final TreeMap<String, Integer> changesOf = new TreeMap<>();
    /** Number of failed conditions by category of the key. */
    final TreeMap<String, Integer> conflictsOf = new TreeMap<>();
    /** Whether the service is unavailable: it answers requests with status 503, and watches not at all. */
    boolean outage;

    int pageSize = DEFAULT_PAGE_SIZE;
    /** How long after their arrival late transactions are applied. */
    Duration lateTransactionDelay;
    /** Number of upcoming transactions that are applied late and never answered. */
    int lateTransactions;
    /** Number of upcoming transactions that are applied at once but never answered. */
    int lostAnswers;

    /** The maximum length of a value in characters. {@link #lowerLimits()} lowers this limit and the next ones. */
    private int valueBytes;

    private int maxOperations = DEFAULT_MAX_OPERATIONS;
    private double changesPerSecond;
    /** Whether a value beyond the size limit is rejected with status 400 and counted; otherwise it fails the test. */
    boolean rejectsTooLarge;
    /** Number of transactions that were rejected for a value beyond the size limit. */
    int rejectedTooLarge;

    SimulatedStore(ClusterSimulator simulator) {
        this.simulator = simulator;
        this.leases = new StoreLeases(simulator, () -> outage, this::deleteValuesOf);
        this.rateLimiter = new StoreRateLimiter(simulator);
        this.watches = new StoreWatches(simulator, () -> outage, () -> revision);
        this.valueBytes = simulator.template.presentValueBytes();
        this.changesPerSecond = simulator.template.storeChangesPerSecond();
    }

    /** Lowers the limits to the future ones that the platform settings announce. */
    void lowerLimits() {
        valueBytes = simulator.template.valueBytes();
        maxOperations = simulator.template.maxTransactionOperations();
        changesPerSecond = simulator.template.nextStoreChangesPerSecond();
    }

    /** Returns whether any value whose key has the prefix contains the text in its JSON form. */
    boolean holds(String prefix, String text) {
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
            if (entry.getKey().startsWith(BATCH_PREFIX)
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

    private void set(String key, JsonElement value, OptionalLong lease) {
        values.put(key, new StoredValue(value, revision, lease));
        watches.recordSet(key, value);
    }

    private void delete(String key) {
        values.remove(key);
        watches.recordDelete(key);
    }

    /** Deletes all keys that are bound to a lease, in one revision. */
    private void deleteValuesOf(long lease) {
        OptionalLong expired = OptionalLong.of(lease);
        List<String> keys = values.entrySet().stream()
                .filter(entry -> entry.getValue().lease.equals(expired))
                .map(Map.Entry::getKey)
                .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::delete);
            watches.notifyWatches();
        }
    }

    private boolean admits(String path, String body) {
        int writes = path.equals(TRANSACTION_PATH) ? StoreTransaction.countWrites(body) : 0;
        boolean admitted = rateLimiter.admits(simulator.template.storeRequestsPerSecond(), changesPerSecond, writes);
        if (admitted) {
            requests++;
            written += writes;
        } else {
            refused++;
        }
        return admitted;
    }

    @Override
    public void request(String method, String path, String body, Consumer<Reply> answer) {
        if (!outage && !admits(path, body)) {
            answer.accept(new Reply(429, "{\"error\":\"too many\"}"));
        } else if (path.startsWith(CHANGES_PATH)) {
            Map<String, String> query = query(path);
            watches.open(
                    new StoreWatches.Watch(query.get("prefix"), Long.parseLong(query.get("since")), answer),
                    Long.parseLong(query.getOrDefault("blockMs", "0")));
        } else if (outage) {
            answer.accept(new Reply(503, "{\"error\":\"trouble\"}"));
        } else if (path.equals(TRANSACTION_PATH)) {
            transaction(body, answer);
        } else if (path.startsWith(LEASES_PATH)) {
            answer.accept(leaseRequest(method, path, body));
        } else if (path.startsWith(VALUE_PATH)) {
            answer.accept(read(path.substring(VALUE_PATH.length())));
        } else {
            answer.accept(list(query(path)));
        }
    }

    private void transaction(String body, Consumer<Reply> answer) {
        if (lostAnswers > 0) {
            lostAnswers--;
            apply(StoreTransaction.parse(body));
        } else if (lateTransactions > 0) {
            // The sender times out, but the transaction is applied nevertheless.
            lateTransactions--;
            simulator.after(lateTransactionDelay, () -> apply(StoreTransaction.parse(body)));
        } else {
            answer.accept(apply(StoreTransaction.parse(body)));
        }
    }

    private Reply leaseRequest(String method, String path, String body) {
        if (path.equals(LEASES_PATH)) {
            JsonObject json = JsonParser.parseString(body).getAsJsonObject();
            long id = leases.grant(Duration.ofMillis(json.get("lifeMs").getAsLong()));
            return new Reply(200, "{\"permit\":" + id + "}");
        }
        long id = Long.parseLong(path.split("/")[2]);
        boolean known;
        if (path.endsWith("/touch")) {
            known = leases.renew(id);
        } else if (method.equals("DELETE")) {
            known = leases.release(id);
        } else {
            throw new AssertionError("request is not part of the state service's protocol: " + method + " " + path);
        }
        return new Reply(known ? 200 : 404, "{}");
    }

    private Reply read(String key) {
        StoredValue value = values.get(key);
        return value == null
                ? new Reply(404, "{\"edition\":" + revision + "}")
                : new Reply(200, item(key, value).toString());
    }

    /** Returns a page of the keys with a prefix, sorted by key. */
    private Reply list(Map<String, String> query) {
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
            items.add(item(entry.getKey(), entry.getValue()));
        }
        JsonObject json = new JsonObject();
        json.add("items", items);
        json.addProperty("truncated", truncated);
        json.addProperty("edition", revision);
        return new Reply(200, json.toString());
    }

    private static JsonObject item(String key, StoredValue value) {
        JsonObject json = new JsonObject();
        json.addProperty("k", key);
        json.add("v", value.json);
        json.addProperty("stamp", value.revision);
        return json;
    }

    private static Map<String, String> query(String path) {
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
        Set<String> failed = failedConditions(transaction);
        if (!transaction.writes().stream().allMatch(write -> leases.permits(write.lease()))) {
            return new Reply(400, "{\"error\":\"no such lease\"}");
        }
        if (rejectsTooLarge && transaction.longestValue() > valueBytes) {
            rejectedTooLarge++;
            return new Reply(400, "{\"error\":\"too large\"}");
        }
        if (!failed.isEmpty()) {
            return conflict(failed);
        }
        if (!transaction.writes().isEmpty()) {
            revision++;
        }
        transaction.writes().forEach(this::apply);
        watches.notifyWatches();
        return new Reply(200, "{\"edition\":" + revision + "}");
    }

    private Set<String> failedConditions(StoreTransaction transaction) {
        Set<String> failed = new HashSet<>();
        for (StoreTransaction.Condition condition : transaction.conditions()) {
            StoredValue value = values.get(condition.key());
            if ((value == null ? 0 : value.revision) != condition.revision()) {
                failed.add(condition.key());
            }
        }
        return failed;
    }

    private Reply conflict(Set<String> failed) {
        conflicts++;
        JsonArray keys = new JsonArray();
        failed.forEach(keys::add);
        failed.forEach(key -> conflictsOf.merge(kind(key), 1, Integer::sum));
        JsonObject json = new JsonObject();
        json.add("failed", keys);
        json.addProperty("edition", revision);
        return new Reply(409, json.toString());
    }

    private void apply(StoreTransaction.Write write) {
        String key = write.key();
        changesOf.merge((write.deletes() ? "delete " : "set ") + kind(key), 1, Integer::sum);
        if (write.deletes()) {
            if (key.startsWith(MEMBER_PREFIX)) {
                evictions++;
            }
            delete(key);
            return;
        }
        if (write.valueLength() > valueBytes) {
            throw new AssertionError("value exceeds the size limit of the state service: " + write);
        }
        set(key, write.value(), write.lease());
    }

    /** Returns the category of a key: its first segment, or its first two if it starts with {@code live/}. */
    private static String kind(String key) {
        String[] parts = key.split("/");
        return key.startsWith("live/") && parts.length > 1 ? parts[0] + "/" + parts[1] : parts[0];
    }
}
