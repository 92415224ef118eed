package org.havenford.simulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.havenford.transport.HttpCalls.Reply;

/** A stand-in for the state service. */
final class SimulatedStore implements ClusterSimulator.Server {
    private record Value(JsonElement v, long stamp, long permit) {}

    private record Change(long stamp, String key, JsonElement v) {}

    private record Watcher(String prefix, long since, Consumer<Reply> answer) {}

    private static final class Lease {
        Duration life;
        Instant until;
    }

    private final ClusterSimulator world;
    final TreeMap<String, Value> values = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    /** How many changes the service keeps: a watch that begins before them is answered 410. */
    int keptChanges = 10_000;

    private long forgottenUpTo;
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private long edition = 1;
    private Instant refilled;
    private final double[] requestTokens = new double[1];
    private final double[] changeTokens = new double[1];
    /** What the service has been asked, and what it refused for its limits. */
    int requests;

    int written;
    int conflicts;
    /** Members that were taken out of the view before their lease had ended. */
    int evictions;

    int refused;
    /** Changes made, and keys of conditions that failed, by the first two parts of the key. */
    final TreeMap<String, Integer> changesOf = new TreeMap<>();

    final TreeMap<String, Integer> conflictsOf = new TreeMap<>();
    private long lastLease;
    boolean outage;
    /** Small, so that even a small world has pages. */
    int pageSize = 7;
    /** Transactions that are answered with nothing, and applied this much later. */
    Duration lateTxn;

    int lateTxns;
    /** Transactions that are applied at once and left unanswered. */
    int lostAnswers;

    /** Limits, which may be lowered without notice. */
    int valueBytes;

    int txnOps = 12;
    double writeRps;
    /** Whether a value beyond the limit is answered with 400 and counted; else it fails the test. */
    boolean refusesTooLarge;

    int tooLarge;
    /** Watches that were answered 410. */
    int tooOld;

    void lower() {
        valueBytes = world.template.valueBytes();
        txnOps = world.template.maxTransactionOperations();
        writeRps = world.template.nextStoreChangesPerSecond();
    }

    SimulatedStore(ClusterSimulator world) {
        this.world = world;
        this.valueBytes = world.template.presentValueBytes();
        this.writeRps = world.template.storeChangesPerSecond();
    }

    /** Whether a text stands in any value of the keys with a prefix. */
    boolean holds(String prefix, String text) {
        return values.entrySet().stream()
                .anyMatch(e -> e.getKey().startsWith(prefix)
                        && value(e.getKey()).toString().contains(text));
    }

    JsonElement value(String key) {
        Value v = values.get(key);
        return v == null ? null : v.v;
    }

    /** The record of the batch that a machine is in says another zone from now on: not a trouble but a fault of whoever wrote it. */
    void forgeZone(String machine, String zone) {
        for (Map.Entry<String, Value> e : List.copyOf(values.entrySet())) {
            if (e.getKey().startsWith("live/machine/")
                    && e.getValue().v.getAsJsonObject().getAsJsonObject("m").has(machine)) {
                JsonObject batch = e.getValue().v.getAsJsonObject().deepCopy();
                batch.addProperty("z", zone);
                edition++;
                values.put(e.getKey(), new Value(batch, edition, 0));
                changes.add(new Change(edition, e.getKey(), batch));
            }
        }
        notifyWatchers();
    }

    void endOutage() {
        outage = false;
        leases.values().forEach(l -> l.until = world.now.plus(l.life));
        leases.keySet().forEach(this::expireLater);
        notifyWatchers();
    }

    private void expireLater(long id) {
        Lease l = leases.get(id);
        world.after(Duration.between(world.now, l.until).plusMillis(20), () -> {
            if (leases.get(id) == l && !outage && !world.now.isBefore(l.until)) {
                leases.remove(id);
                List<String> gone = values.entrySet().stream()
                        .filter(e -> e.getValue().permit == id)
                        .map(Map.Entry::getKey)
                        .toList();
                if (!gone.isEmpty()) {
                    edition++;
                    gone.forEach(k -> {
                        values.remove(k);
                        changes.add(new Change(edition, k, null));
                    });
                    notifyWatchers();
                }
            }
        });
    }

    /** Takes from a limit that allows bursts of one second's worth. */
    private boolean within(double[] bucket, double rate, double n) {
        bucket[0] = Math.min(
                rate, bucket[0] + rate * Duration.between(refilled, world.now).toNanos() / 1e9);
        if (bucket[0] < n) {
            return false;
        }
        bucket[0] -= n;
        return true;
    }

    private boolean allowed(String path, String body) {
        if (refilled == null) {
            refilled = world.now;
            requestTokens[0] = world.template.storeRequestsPerSecond();
            changeTokens[0] = writeRps;
        }
        int writes = path.equals("/multi")
                ? JsonParser.parseString(body)
                        .getAsJsonObject()
                        .getAsJsonArray("writes")
                        .size()
                : 0;
        @SuppressWarnings("ShortCircuitBoolean") // Both buckets are charged.
        boolean ok = within(requestTokens, world.template.storeRequestsPerSecond(), 1)
                & within(changeTokens, writeRps, writes);
        refilled = world.now;
        if (ok) {
            requests++;
            written += writes;
        } else {
            refused++;
        }
        return ok;
    }

    @Override
    public void request(String method, String path, String body, Consumer<Reply> answer) {
        if (!outage && !allowed(path, body)) {
            answer.accept(new Reply(429, "{\"error\":\"too many\"}"));
            return;
        }
        if (path.startsWith("/changes")) {
            Map<String, String> q = query(path);
            Watcher w = new Watcher(q.get("prefix"), Long.parseLong(q.get("since")), answer);
            long block = Long.parseLong(q.getOrDefault("blockMs", "0"));
            if (!tell(w, block == 0 && !outage)) {
                watchers.add(w);
                world.after(Duration.ofMillis(Math.max(1, block)), () -> {
                    if (!outage && watchers.remove(w)) {
                        tell(w, true);
                    }
                });
            }
            return;
        }
        if (outage) {
            answer.accept(new Reply(503, "{\"error\":\"trouble\"}"));
        } else if (path.equals("/multi")) {
            if (lostAnswers > 0) {
                lostAnswers--;
                txn(body);
            } else if (lateTxns > 0) {
                // Given up on by its sender, applied all the same.
                lateTxns--;
                world.after(lateTxn, () -> txn(body));
            } else {
                answer.accept(txn(body));
            }
        } else if (path.equals("/holds")) {
            Lease l = new Lease();
            l.life = Duration.ofMillis(
                    JsonParser.parseString(body).getAsJsonObject().get("lifeMs").getAsLong());
            l.until = world.now.plus(l.life);
            leases.put(++lastLease, l);
            expireLater(lastLease);
            answer.accept(new Reply(200, "{\"permit\":" + lastLease + "}"));
        } else if (path.endsWith("/touch")) {
            long id = Long.parseLong(path.split("/")[2]);
            Lease l = leases.get(id);
            if (l == null) {
                answer.accept(new Reply(404, "{}"));
            } else {
                l.until = world.now.plus(l.life);
                expireLater(id);
                answer.accept(new Reply(200, "{}"));
            }
        } else if (method.equals("DELETE") && path.startsWith("/holds/")) {
            Lease l = leases.get(Long.parseLong(path.split("/")[2]));
            if (l != null) {
                l.until = world.now;
                expireLater(Long.parseLong(path.split("/")[2]));
            }
            answer.accept(new Reply(l == null ? 404 : 200, "{}"));
        } else if (path.startsWith("/store/")) {
            String key = path.substring("/store/".length());
            Value v = values.get(key);
            answer.accept(
                    v == null
                            ? new Reply(404, "{\"edition\":" + edition + "}")
                            : new Reply(200, item(key, v).toString()));
        } else {
            Map<String, String> q = query(path);
            JsonArray items = new JsonArray();
            boolean more = false;
            for (Map.Entry<String, Value> e :
                    values.tailMap(q.getOrDefault("since", ""), false).entrySet()) {
                if (e.getKey().startsWith(q.get("prefix"))) {
                    if (items.size() >= pageSize) {
                        more = true;
                        break;
                    }
                    items.add(item(e.getKey(), e.getValue()));
                }
            }
            JsonObject json = new JsonObject();
            json.add("items", items);
            json.addProperty("truncated", more);
            json.addProperty("edition", edition);
            answer.accept(new Reply(200, json.toString()));
        }
    }

    private static String kind(String key) {
        String[] parts = key.split("/");
        return key.startsWith("live/") && parts.length > 1 ? parts[0] + "/" + parts[1] : parts[0];
    }

    private static JsonObject item(String key, Value v) {
        JsonObject json = new JsonObject();
        json.addProperty("k", key);
        json.add("v", v.v);
        json.addProperty("stamp", v.stamp);
        return json;
    }

    private static Map<String, String> query(String path) {
        Map<String, String> q = new HashMap<>();
        for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
            String[] kv = part.split("=", 2);
            q.put(kv[0], kv[1]);
        }
        return q;
    }

    private Reply txn(String body) {
        JsonObject json = JsonParser.parseString(body).getAsJsonObject();
        JsonArray writes = json.getAsJsonArray("writes");
        if (writes.size() > txnOps || json.getAsJsonArray("guards").size() > 4 * txnOps || body.length() > 65536) {
            throw new AssertionError("a transaction beyond the limits: " + body);
        }
        Set<String> failed = new HashSet<>();
        for (JsonElement e : json.getAsJsonArray("guards")) {
            String k = e.getAsJsonObject().get("k").getAsString();
            Value v = values.get(k);
            if ((v == null ? 0 : v.stamp) != e.getAsJsonObject().get("stamp").getAsLong()) {
                failed.add(k);
            }
        }
        for (JsonElement e : writes) {
            JsonObject w = e.getAsJsonObject();
            if (w.has("permit") && !leases.containsKey(w.get("permit").getAsLong())) {
                return new Reply(400, "{\"error\":\"no such lease\"}");
            }
        }
        if (refusesTooLarge && largest(writes) > valueBytes) {
            tooLarge++;
            return new Reply(400, "{\"error\":\"too large\"}");
        }
        if (!failed.isEmpty()) {
            conflicts++;
            JsonObject refused = new JsonObject();
            JsonArray keys = new JsonArray();
            failed.forEach(keys::add);
            failed.forEach(k -> conflictsOf.merge(kind(k), 1, Integer::sum));
            refused.add("failed", keys);
            refused.addProperty("edition", edition);
            return new Reply(409, refused.toString());
        }
        if (writes.size() > 0) {
            edition++;
        }
        for (JsonElement e : writes) {
            JsonObject w = e.getAsJsonObject();
            changesOf.merge(
                    (w.has("set") ? "set " : "delete ")
                            + kind(w.get(w.has("set") ? "set" : "delete").getAsString()),
                    1,
                    Integer::sum);
            if (w.has("set")) {
                if (w.get("v").toString().length() > valueBytes) {
                    throw new AssertionError("a value beyond the limit: " + w);
                }
                values.put(
                        w.get("set").getAsString(),
                        new Value(
                                w.get("v"),
                                edition,
                                w.has("permit") ? w.get("permit").getAsLong() : 0));
                changes.add(new Change(edition, w.get("set").getAsString(), w.get("v")));
            } else {
                if (w.get("delete").getAsString().startsWith("live/member/")) {
                    evictions++;
                }
                values.remove(w.get("delete").getAsString());
                changes.add(new Change(edition, w.get("delete").getAsString(), null));
            }
        }
        notifyWatchers();
        return new Reply(200, "{\"edition\":" + edition + "}");
    }

    private static int largest(JsonArray writes) {
        int largest = 0;
        for (JsonElement e : writes) {
            JsonObject w = e.getAsJsonObject();
            largest = Math.max(largest, w.has("v") ? w.get("v").toString().length() : 0);
        }
        return largest;
    }

    private void notifyWatchers() {
        watchers.removeIf(w -> tell(w, false));
    }

    private boolean tell(Watcher w, boolean even) {
        if (outage) {
            return false;
        }
        while (changes.size() > keptChanges) {
            forgottenUpTo = changes.remove(0).stamp;
        }
        if (w.since < forgottenUpTo) {
            tooOld++;
            w.answer.accept(new Reply(410, "{\"error\":\"too old\"}"));
            return true;
        }
        JsonArray log = new JsonArray();
        int from = changes.size();
        while (from > 0 && changes.get(from - 1).stamp > w.since) {
            from--;
        }
        for (Change c : changes.subList(from, changes.size())) {
            if (c.key.startsWith(w.prefix)) {
                JsonObject json = new JsonObject();
                json.addProperty(c.v == null ? "delete" : "set", c.key);
                if (c.v != null) {
                    json.add("v", c.v);
                }
                json.addProperty("stamp", c.stamp);
                log.add(json);
            }
        }
        if (log.isEmpty() && !even) {
            return false;
        }
        JsonObject json = new JsonObject();
        json.addProperty("edition", edition);
        json.add("log", log);
        w.answer.accept(new Reply(200, json.toString()));
        return true;
    }
}
