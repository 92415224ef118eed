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

/** A stand-in for the state service: a key-value store with transactions, leases, watches and limits. */
final class SimulatedStore implements ClusterSimulator.Server {
    private static final String CHANGES_PATH = "/changes";
    private static final String TRANSACTION_PATH = "/multi";
    private static final String LEASES_PATH = "/holds";
    private static final String VALUE_PATH = "/store/";
    private static final String BATCH_PREFIX = "live/machine/";
    private static final String MEMBER_PREFIX = "live/member/";
    /** Small, so that even a small cluster has pages. */
    private static final int DEFAULT_PAGE_SIZE = 7;

    private static final int DEFAULT_MAX_OPERATIONS = 12;

    /** A stored value, the revision at which it was written and the lease that it is bound to, if any. */
    record StoredValue(JsonElement json, long revision, OptionalLong lease) {}

    private final ClusterSimulator simulator;
    private final StoreLeases leases;
    private final StoreRateLimiter rateLimiter;
    final StoreWatches watches;
    final TreeMap<String, StoredValue> values = new TreeMap<>();
    private long revision = 1;
    /** Requests that the service has accepted, and the writes in them. */
    int requests;

    int written;
    /** Requests that the service refused for its rate limits. */
    int refused;
    /** Transactions of which a condition failed. */
    int conflicts;
    /** Members that were taken out of the view before their lease had ended. */
    int evictions;
    /** Changes made, and keys of conditions that failed, by the first two parts of the key. */
    final TreeMap<String, Integer> changesOf = new TreeMap<>();

    final TreeMap<String, Integer> conflictsOf = new TreeMap<>();
    /** Whether the service answers nothing but 503. */
    boolean outage;

    int pageSize = DEFAULT_PAGE_SIZE;
    /** Transactions that are answered with nothing, and applied this much later. */
    Duration lateTransactionDelay;

    int lateTransactions;
    /** Transactions that are applied at once and left unanswered. */
    int lostAnswers;

    /** Limits, which may be lowered without notice. */
    private int valueBytes;

    private int maxOperations = DEFAULT_MAX_OPERATIONS;
    private double changesPerSecond;
    /** Whether a value beyond the limit is answered with 400 and counted; else it fails the test. */
    boolean rejectsTooLarge;

    int rejectedTooLarge;

    SimulatedStore(ClusterSimulator simulator) {
        this.simulator = simulator;
        this.leases = new StoreLeases(simulator, () -> outage, this::deleteValuesOf);
        this.rateLimiter = new StoreRateLimiter(simulator);
        this.watches = new StoreWatches(simulator, () -> outage, () -> revision);
        this.valueBytes = simulator.template.presentValueBytes();
        this.changesPerSecond = simulator.template.storeChangesPerSecond();
    }

    /** Lowers the limits to those that the deployment announces as the next ones. */
    void lowerLimits() {
        valueBytes = simulator.template.valueBytes();
        maxOperations = simulator.template.maxTransactionOperations();
        changesPerSecond = simulator.template.nextStoreChangesPerSecond();
    }

    /** Whether any value whose key has a prefix contains a text. */
    boolean holds(String prefix, String text) {
        return values.entrySet().stream()
                .anyMatch(entry -> entry.getKey().startsWith(prefix)
                        && entry.getValue().json.toString().contains(text));
    }

    /** The value of a key, or null. */
    JsonElement value(String key) {
        StoredValue value = values.get(key);
        return value == null ? null : value.json;
    }

    /** The record of the batch that a machine is in names another zone from now on: not a fault of the network, but of the writer. */
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

    /** The service is available again; all leases start anew. */
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

    /** Deletes all keys that are bound to a lease. */
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
            // Given up on by its sender, applied all the same.
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
            throw new AssertionError("a request that the protocol does not have: " + method + " " + path);
        }
        return new Reply(known ? 200 : 404, "{}");
    }

    private Reply read(String key) {
        StoredValue value = values.get(key);
        return value == null
                ? new Reply(404, "{\"edition\":" + revision + "}")
                : new Reply(200, item(key, value).toString());
    }

    /** A page of the keys with a prefix, in their order. */
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
            throw new AssertionError("a transaction beyond the limits: " + transaction);
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
            throw new AssertionError("a value beyond the limit: " + write);
        }
        set(key, write.value(), write.lease());
    }

    /** The first part of a key, or the first two of a key of the running cluster. */
    private static String kind(String key) {
        String[] parts = key.split("/");
        return key.startsWith("live/") && parts.length > 1 ? parts[0] + "/" + parts[1] : parts[0];
    }
}
