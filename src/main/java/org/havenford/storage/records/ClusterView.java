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
import org.havenford.protocol.MalformedMessageException;

/**
 * Who takes part, as one key of the store says: node and incarnation (the lease it joined with). Each change raises the
 * epoch, and with it every token. A cordoned member owns no machines: their agents could not reach it. Of an evicted node
 * the incarnation is kept that was taken out before its lease had ended, until another one of it is a member.
 */
public record ClusterView(
        long epoch,
        TreeMap<String, Long> members,
        TreeMap<String, String> reassigned,
        TreeSet<String> cordoned,
        TreeMap<String, Long> evicted) {
    // Stored field names; versions in production read and write them, so they must not change.
    private static final String EPOCH = "epoch";
    private static final String MEMBERS = "members";
    private static final String REASSIGNED = "moved";
    private static final String CORDONED = "resting";
    private static final String EVICTED = "evicted";

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
    public static ClusterView parse(JsonObject json) throws MalformedMessageException {
        TreeMap<String, String> reassigned = entries(json, REASSIGNED, JsonElement::getAsString);
        TreeMap<String, Long> evicted = Json.has(json, EVICTED) ? incarnations(json, EVICTED) : new TreeMap<>();
        TreeSet<String> cordoned = new TreeSet<>(Json.texts(json, CORDONED));
        return new ClusterView(Json.count(json, EPOCH), incarnations(json, MEMBERS), reassigned, cordoned, evicted);
    }

    private static TreeMap<String, Long> incarnations(JsonObject json, String field) throws MalformedMessageException {
        return entries(json, field, JsonElement::getAsLong);
    }

    private static <T> TreeMap<String, T> entries(JsonObject json, String field, Function<JsonElement, T> value)
            throws MalformedMessageException {
        TreeMap<String, T> entries = new TreeMap<>();
        for (Map.Entry<String, JsonElement> entry : Json.child(json, field).entrySet()) {
            try {
                entries.put(entry.getKey(), value.apply(entry.getValue()));
            } catch (IllegalStateException | NumberFormatException | UnsupportedOperationException e) {
                throw new MalformedMessageException(field + " of " + entry.getKey() + " is of the wrong form");
            }
        }
        return entries;
    }

    /** The stored value. */
    public JsonObject toJson() {
        JsonObject json = new JsonObject();
        json.addProperty(EPOCH, epoch);
        JsonObject incarnations = new JsonObject();
        members.forEach(incarnations::addProperty);
        json.add(MEMBERS, incarnations);
        JsonObject owners = new JsonObject();
        reassigned.forEach(owners::addProperty);
        json.add(REASSIGNED, owners);
        JsonArray withoutMachines = new JsonArray();
        cordoned.forEach(withoutMachines::add);
        json.add(CORDONED, withoutMachines);
        if (!evicted.isEmpty()) {
            JsonObject evictedIncarnations = new JsonObject();
            evicted.forEach(evictedIncarnations::addProperty);
            json.add(EVICTED, evictedIncarnations);
        }
        return json;
    }

    /** The node that takes a machine's reports: the active member with the highest hash, unless the machine was reassigned. */
    public String owner(String machine) {
        String newOwner = reassigned.get(machine);
        if (newOwner != null && members.containsKey(newOwner) && !cordoned.contains(newOwner)) {
            return newOwner;
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
        Long evictedIncarnation = evicted.get(node);
        return evictedIncarnation != null && evictedIncarnation == incarnation;
    }

    /** The member with the highest hash for a name, cordoned ones included. */
    public String rendezvousOwner(String name) {
        return highest(name, members.keySet());
    }

    /** Members that own machines; all of them, should all be cordoned. */
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
            long hash = HashCommon.murmurHash3(named ^ HashCommon.mix(node.hashCode() * 0x9E3779B97F4A7C15L));
            if (best == null || Long.compareUnsigned(hash, bestHash) > 0) {
                best = node;
                bestHash = hash;
            }
        }
        return best;
    }

    /** The member that rents and returns machines. */
    public String provisioningLeader() {
        return members.isEmpty() ? null : activeMembers().iterator().next();
    }
}
