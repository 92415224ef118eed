package org.havenford.coordination;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.havenford.protocol.Json;

/**
 * Who takes part, as one key of the store says: node and incarnation (the lease it joined with). Each change raises the
 * epoch, and with it every token.
 */
public record View(long epoch, TreeMap<String, Long> members, TreeMap<String, String> moved) {
    private static final HashFunction HASH = Hashing.murmur3_128(0x68617665);

    public static View empty() {
        return new View(0, new TreeMap<>(), new TreeMap<>());
    }

    public static View parse(JsonObject o) throws Json.BadMessage {
        TreeMap<String, Long> members = new TreeMap<>();
        for (Map.Entry<String, com.google.gson.JsonElement> e : Json.child(o, "members").entrySet()) {
            members.put(e.getKey(), e.getValue().getAsLong());
        }
        TreeMap<String, String> moved = new TreeMap<>();
        for (Map.Entry<String, com.google.gson.JsonElement> e : Json.child(o, "moved").entrySet()) {
            moved.put(e.getKey(), e.getValue().getAsString());
        }
        return new View(Json.count(o, "epoch"), members, moved);
    }

    public JsonObject toJson() {
        JsonObject o = new JsonObject();
        o.addProperty("epoch", epoch);
        JsonObject m = new JsonObject();
        members.forEach(m::addProperty);
        o.add("members", m);
        JsonObject v = new JsonObject();
        moved.forEach(v::addProperty);
        o.add("moved", v);
        return o;
    }

    /** The node that takes a machine's reports: the member with the highest hash, unless the machine was moved. */
    public String owner(String machine) {
        String over = moved.get(machine);
        if (over != null && members.containsKey(over)) {
            return over;
        }
        return rendezvous(machine);
    }

    public String rendezvous(String name) {
        String best = null;
        long bestHash = 0;
        for (String node : members.keySet()) {
            long h = HASH.newHasher().putString(node, StandardCharsets.UTF_8).putChar('|')
                    .putString(name, StandardCharsets.UTF_8).hash().asLong();
            if (best == null || Long.compareUnsigned(h, bestHash) > 0) {
                best = node;
                bestHash = h;
            }
        }
        return best;
    }

    /** The member that rents and returns machines. */
    public String first() {
        return members.isEmpty() ? null : members.firstKey();
    }
}
