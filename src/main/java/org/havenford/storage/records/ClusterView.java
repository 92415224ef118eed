package org.havenford.storage.records;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import it.unimi.dsi.fastutil.HashCommon;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.havenford.protocol.Json;

/**
 * Who takes part, as one key of the store says: node and incarnation (the lease it joined with). Each change raises the
 * epoch, and with it every token. A resting member owns no machines: their workers could not reach it. Of an evicted node
 * the incarnation is kept that was taken out before its lease had ended, until another one of it is a member.
 */
public record ClusterView(
        long epoch,
        TreeMap<String, Long> members,
        TreeMap<String, String> reassigned,
        TreeSet<String> cordoned,
        TreeMap<String, Long> evicted) {
    private static final HashFunction HASH = Hashing.murmur3_128(0x68617665);

    /** A view from which nobody was evicted. */
    public ClusterView(
            long epoch, TreeMap<String, Long> members, TreeMap<String, String> reassigned, TreeSet<String> cordoned) {
        this(epoch, members, reassigned, cordoned, new TreeMap<>());
    }

    /** The view before the first member has joined. */
    public static ClusterView empty() {
        return new ClusterView(0, new TreeMap<>(), new TreeMap<>(), new TreeSet<>());
    }

    /** Reads the stored view. */
    public static ClusterView parse(JsonObject json) throws Json.BadMessage {
        TreeMap<String, String> moved = entries(json, "moved", JsonElement::getAsString);
        TreeMap<String, Long> evicted = Json.has(json, "evicted") ? incarnations(json, "evicted") : new TreeMap<>();
        TreeSet<String> resting = new TreeSet<>(Json.texts(json, "resting"));
        return new ClusterView(Json.count(json, "epoch"), incarnations(json, "members"), moved, resting, evicted);
    }

    private static TreeMap<String, Long> incarnations(JsonObject json, String field) throws Json.BadMessage {
        return entries(json, field, JsonElement::getAsLong);
    }

    private static <T> TreeMap<String, T> entries(JsonObject json, String field, Function<JsonElement, T> value)
            throws Json.BadMessage {
        TreeMap<String, T> entries = new TreeMap<>();
        for (Map.Entry<String, JsonElement> entry : Json.child(json, field).entrySet()) {
            try {
                entries.put(entry.getKey(), value.apply(entry.getValue()));
            } catch (IllegalStateException | NumberFormatException | UnsupportedOperationException e) {
                throw new Json.BadMessage(field + " of " + entry.getKey() + " is of the wrong form");
            }
        }
        return entries;
    }

    /** The stored value. */
    public JsonObject toJson() {
        JsonObject json = new JsonObject();
        json.addProperty("epoch", epoch);
        JsonObject m = new JsonObject();
        members.forEach(m::addProperty);
        json.add("members", m);
        JsonObject v = new JsonObject();
        reassigned.forEach(v::addProperty);
        json.add("moved", v);
        JsonArray r = new JsonArray();
        cordoned.forEach(r::add);
        json.add("resting", r);
        if (!evicted.isEmpty()) {
            JsonObject out = new JsonObject();
            evicted.forEach(out::addProperty);
            json.add("evicted", out);
        }
        return json;
    }

    /** The node that takes a machine's reports: the active member with the highest hash, unless the machine was moved. */
    public String owner(String machine) {
        String over = reassigned.get(machine);
        if (over != null && members.containsKey(over) && !cordoned.contains(over)) {
            return over;
        }
        return highest(machine, activeMembers());
    }

    /** The member that would own a machine if its owner left the view, or null. */
    public String successor(String machine) {
        Set<String> others = new TreeSet<>(activeMembers());
        others.remove(owner(machine));
        return highest(machine, others);
    }

    /** Whether an incarnation of a node was taken out before its lease had ended. */
    public boolean wasEvicted(String node, long incarnation) {
        Long out = evicted.get(node);
        return out != null && out == incarnation;
    }

    /** The member with the highest hash for a name, resting ones included. */
    public String rendezvousOwner(String name) {
        return highest(name, members.keySet());
    }

    /** Members that own machines; all of them, should all be resting. */
    public Set<String> activeMembers() {
        Set<String> active = new TreeSet<>(members.keySet());
        active.removeAll(cordoned);
        return active.isEmpty() ? members.keySet() : active;
    }

    private static String highest(String name, Set<String> nodes) {
        long named = HASH.hashString(name, StandardCharsets.UTF_8).asLong();
        String best = null;
        long bestHash = 0;
        for (String node : nodes) {
            long h = HashCommon.murmurHash3(named ^ HashCommon.mix(node.hashCode() * 0x9E3779B97F4A7C15L));
            if (best == null || Long.compareUnsigned(h, bestHash) > 0) {
                best = node;
                bestHash = h;
            }
        }
        return best;
    }

    /** The member that rents and returns machines. */
    public String provisioningLeader() {
        return members.isEmpty() ? null : activeMembers().iterator().next();
    }
}
