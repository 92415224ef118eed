import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service of the protocol, with one address for each controller so that a link can be disturbed. */
final class StateService {
    /** What happens to the requests of one controller. */
    enum Link {
        SERVED,
        /** 503, and open watches wait. */
        REFUSED,
        /** Cut off: nothing arrives and nothing is answered; packets are dropped. */
        CUT,
        /** Cut off: packets are held back and arrive after the cut, when the sender has given up. */
        HELD
    }

    private record Value(JsonElement json, long stamp, long permit) {}

    private record Change(String key, JsonElement json, long stamp) {}

    private static final class Hold {
        double life;
        double end;
    }

    private static final int KEPT_CHANGES = 10_000;
    private final World world;
    private final Config config;
    private final TreeMap<String, Value> values = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, Double> renewals = new HashMap<>();
    private long edition;
    private long forgotten;
    private long lastPermit;
    private boolean outage;
    private double requestTokens;
    private double changeTokens;
    private double tokensAt;
    /** Counts of answers, for the record. */
    int refusedByLimits;

    StateService(World world, Config config) {
        this.world = world;
        this.config = config;
        this.edition = config.firstEdition;
        this.forgotten = config.firstEdition;
        this.requestTokens = config.stateRps;
        this.changeTokens = config.stateWriteRps;
        world.every(0.02, this::endHolds);
    }

    String serve(Web web, String node) throws IOException {
        links.put(node, Link.SERVED);
        return web.serve((method, path, body) -> handle(node, method, path, body));
    }

    void setLink(String node, Link link) {
        synchronized (world) {
            links.put(node, link);
            world.record("state service: %s is now %s", node, link);
            world.notifyAll();
        }
    }

    void setOutage(boolean out) {
        synchronized (world) {
            outage = out;
            if (!out) {
                holds.values().forEach(hold -> hold.end = world.now() + hold.life);
            }
            world.record("state service: outage %s", out);
            world.notifyAll();
        }
    }

    /** When a controller last renewed its lease; 0 if it never has. */
    double lastRenewal(String node) {
        synchronized (world) {
            return renewals.getOrDefault(node, 0.0);
        }
    }

    JsonElement value(String key) {
        synchronized (world) {
            return values.containsKey(key) ? values.get(key).json() : null;
        }
    }

    private void endHolds() {
        if (outage) {
            return;
        }
        for (Long permit : Set.copyOf(holds.keySet())) {
            if (world.now() > holds.get(permit).end) {
                endHold(permit);
            }
        }
    }

    private void endHold(long permit) {
        holds.remove(permit);
        Set<String> bound = new HashSet<>();
        values.forEach((key, value) -> {
            if (value.permit() == permit) {
                bound.add(key);
            }
        });
        if (!bound.isEmpty()) {
            edition++;
            bound.forEach(this::delete);
            world.record("state service: hold %d ended, deleted %s", permit, bound);
            world.notifyAll();
        }
    }

    private void delete(String key) {
        if (values.remove(key) != null) {
            log(new Change(key, null, edition));
        }
    }

    private void log(Change change) {
        changes.addLast(change);
        while (changes.size() > KEPT_CHANGES) {
            forgotten = changes.removeFirst().stamp();
        }
    }

    private boolean admitted(int writes) {
        double now = world.now();
        requestTokens = Math.min(config.stateRps, requestTokens + (now - tokensAt) * config.stateRps);
        changeTokens = Math.min(config.stateWriteRps, changeTokens + (now - tokensAt) * config.stateWriteRps);
        tokensAt = now;
        if (requestTokens < 1 || changeTokens < writes) {
            refusedByLimits++;
            return false;
        }
        requestTokens--;
        changeTokens -= writes;
        return true;
    }

    private Web.Reply handle(String node, String method, String path, String body) throws InterruptedException {
        synchronized (world) {
            if (links.get(node) == Link.CUT) {
                while (links.get(node) == Link.CUT) {
                    world.wait();
                }
                return null;
            }
            boolean held = links.get(node) == Link.HELD;
            while (links.get(node) == Link.HELD) {
                world.wait();
            }
            if (held && !path.startsWith("/changes")) {
                links.put(node, Link.SERVED);
            }
            boolean refused = outage || links.get(node) == Link.REFUSED;
            Map<String, String> query = query(path);
            if (path.startsWith("/changes")) {
                return refused || admitted(0) ? watch(node, query) : tooMany();
            }
            if (refused) {
                return new Web.Reply(503, "{\"error\":\"trouble\"}");
            }
            JsonObject json = body.isEmpty() ? new JsonObject() : JsonParser.parseString(body).getAsJsonObject();
            if (!admitted(path.equals("/multi") ? json.getAsJsonArray("writes").size() : 0)) {
                return tooMany();
            }
            if (path.equals("/multi")) {
                return transaction(node, json);
            }
            if (path.startsWith("/holds")) {
                return hold(node, method, path, json);
            }
            return path.startsWith("/store/") ? get(path.substring("/store/".length())) : list(query);
        }
    }

    private static Web.Reply tooMany() {
        return new Web.Reply(429, "{\"error\":\"too many\"}");
    }

    private static Map<String, String> query(String path) {
        Map<String, String> query = new HashMap<>();
        int mark = path.indexOf('?');
        if (mark >= 0) {
            for (String part : path.substring(mark + 1).split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], pair[1]);
            }
        }
        return query;
    }

    private Web.Reply watch(String node, Map<String, String> query) throws InterruptedException {
        String prefix = query.get("prefix");
        long since = Long.parseUnsignedLong(query.get("since"));
        double end = world.now() + Integer.parseInt(query.getOrDefault("blockMs", "0")) / 1e3;
        while (true) {
            boolean waits = outage || links.get(node) != Link.SERVED;
            if (!waits) {
                if (since < forgotten) {
                    return new Web.Reply(410, "{\"error\":\"too old\"}");
                }
                JsonArray log = new JsonArray();
                for (Change change : changes) {
                    if (change.stamp() > since && change.key().startsWith(prefix)) {
                        JsonObject entry = new JsonObject();
                        entry.addProperty(change.json() == null ? "delete" : "set", change.key());
                        if (change.json() != null) {
                            entry.add("v", change.json());
                        }
                        entry.addProperty("stamp", change.stamp());
                        log.add(entry);
                    }
                }
                if (!log.isEmpty() || world.now() >= end) {
                    JsonObject json = new JsonObject();
                    json.addProperty("edition", edition);
                    json.add("log", log);
                    return new Web.Reply(200, json.toString());
                }
            }
            if (world.now() > end + 60) {
                return null;
            }
            world.wait(waits ? 200 : Math.max(1, Math.min(200, (long) ((end - world.now()) * 1000))));
        }
    }

    private Web.Reply transaction(String node, JsonObject json) {
        JsonArray writes = json.getAsJsonArray("writes");
        JsonArray guards = json.getAsJsonArray("guards");
        if (writes.size() > config.stateTxnOps || guards.size() > 4 * config.stateTxnOps) {
            return new Web.Reply(400, "{\"error\":\"too many operations\"}");
        }
        for (JsonElement element : writes) {
            JsonObject write = element.getAsJsonObject();
            if (write.has("permit") && !holds.containsKey(write.get("permit").getAsLong())) {
                return new Web.Reply(400, "{\"error\":\"no such lease\"}");
            }
            if (write.has("v") && write.get("v").toString().length() > config.stateValueKb * 1024) {
                return new Web.Reply(400, "{\"error\":\"value too large\"}");
            }
        }
        JsonArray failed = new JsonArray();
        for (JsonElement element : guards) {
            JsonObject guard = element.getAsJsonObject();
            Value value = values.get(guard.get("k").getAsString());
            if ((value == null ? 0 : value.stamp()) != guard.get("stamp").getAsLong()) {
                failed.add(guard.get("k").getAsString());
            }
        }
        JsonObject reply = new JsonObject();
        if (!failed.isEmpty()) {
            reply.add("failed", failed);
            reply.addProperty("edition", edition);
            return new Web.Reply(409, reply.toString());
        }
        if (!writes.isEmpty()) {
            edition++;
            for (JsonElement element : writes) {
                JsonObject write = element.getAsJsonObject();
                if (write.has("set")) {
                    String key = write.get("set").getAsString();
                    long permit = write.has("permit") ? write.get("permit").getAsLong() : 0;
                    values.put(key, new Value(write.get("v"), edition, permit));
                    log(new Change(key, write.get("v"), edition));
                    if (key.startsWith("live/view") || key.startsWith("live/team") || key.startsWith("live/member")) {
                        world.record("state service: %s set %s = %s", node, key, write.get("v"));
                    }
                } else {
                    delete(write.get("delete").getAsString());
                }
            }
            world.notifyAll();
        }
        reply.addProperty("edition", edition);
        return new Web.Reply(200, reply.toString());
    }

    private Web.Reply hold(String node, String method, String path, JsonObject json) {
        if (path.equals("/holds")) {
            Hold hold = new Hold();
            hold.life = json.get("lifeMs").getAsLong() / 1e3;
            hold.end = world.now() + hold.life;
            holds.put(++lastPermit, hold);
            world.record("state service: %s has hold %d for %.1f s", node, lastPermit, hold.life);
            return new Web.Reply(200, "{\"permit\":" + lastPermit + "}");
        }
        long permit = Long.parseLong(path.split("/")[2]);
        Hold hold = holds.get(permit);
        if (hold == null) {
            return new Web.Reply(404, "{}");
        }
        if (method.equals("DELETE")) {
            endHold(permit);
        } else {
            hold.end = world.now() + hold.life;
            renewals.put(node, world.now());
        }
        return new Web.Reply(200, "{}");
    }

    private Web.Reply get(String key) {
        Value value = values.get(key);
        return value == null
                ? new Web.Reply(404, "{\"edition\":" + edition + "}")
                : new Web.Reply(200, entry(key, value).toString());
    }

    private Web.Reply list(Map<String, String> query) {
        String prefix = query.get("prefix");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        JsonArray items = new JsonArray();
        boolean truncated = false;
        int size = 0;
        String since = query.getOrDefault("since", "");
        for (Map.Entry<String, Value> entry : values.tailMap(since, false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                continue;
            }
            JsonObject item = entry(entry.getKey(), entry.getValue());
            size += item.toString().length();
            if (items.size() >= limit || size > 500_000) {
                truncated = true;
                break;
            }
            items.add(item);
        }
        JsonObject json = new JsonObject();
        json.add("items", items);
        json.addProperty("truncated", truncated);
        json.addProperty("edition", edition);
        return new Web.Reply(200, json.toString());
    }

    private static JsonObject entry(String key, Value value) {
        JsonObject json = new JsonObject();
        json.addProperty("k", key);
        json.add("v", value.json());
        json.addProperty("stamp", value.stamp());
        if (value.permit() != 0) {
            json.addProperty("permit", value.permit());
        }
        return json;
    }
}
