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
 * The membership of the cluster, stored under {@link Keys#VIEW}. Each change increments the epoch, and with it the
 * fencing tokens that owners send to agents.
 *
 * @param epoch number of changes of the view so far
 * @param members the members and their incarnations; an incarnation is the id of the lease with which the node joined
 * @param reassigned machines that belong to another member than the one with the highest hash, with that member
 * @param cordoned members that own no machines because agents could not reach them
 * @param evicted nodes that were removed before their lease had ended, with the removed incarnation; an entry stays
 *     until the node is a member again
 */
public record ClusterView(
        long epoch,
        TreeMap<String, Long> members,
        TreeMap<String, String> reassigned,
        TreeSet<String> cordoned,
        TreeMap<String, Long> evicted) {
    // Names of stored fields. Versions in production read and write them, so they must not change.
    private static final String EPOCH = "epoch";
    private static final String MEMBERS = "members";
    private static final String REASSIGNED = "moved";
    private static final String CORDONED = "resting";
    private static final String EVICTED = "evicted";

    private static final HashFunction HASH = Hashing.murmur3_128(0x68617665);

    /** Creates a view without evicted nodes. */
    public ClusterView(
            long epoch, TreeMap<String, Long> members, TreeMap<String, String> reassigned, TreeSet<String> cordoned) {
        this(epoch, members, reassigned, cordoned, new TreeMap<>());
    }

    /** Returns the view before the first member has joined. */
    public static ClusterView empty() {
        return new ClusterView(0, new TreeMap<>(), new TreeMap<>(), new TreeSet<>());
    }

    /** Parses the stored view. */
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
                throw new MalformedMessageException(
                        field + " of " + entry.getKey() + " has the wrong type: " + entry.getValue());
            }
        }
        return entries;
    }

    /** Returns the value to store. */
    public JsonObject toJson() {
        JsonObject json = new JsonObject();
        json.addProperty(EPOCH, epoch);
        JsonObject incarnations = new JsonObject();
        members.forEach(incarnations::addProperty);
        json.add(MEMBERS, incarnations);
        JsonObject newOwners = new JsonObject();
        reassigned.forEach(newOwners::addProperty);
        json.add(REASSIGNED, newOwners);
        JsonArray cordonedNodes = new JsonArray();
        cordoned.forEach(cordonedNodes::add);
        json.add(CORDONED, cordonedNodes);
        if (!evicted.isEmpty()) {
            JsonObject evictedIncarnations = new JsonObject();
            evicted.forEach(evictedIncarnations::addProperty);
            json.add(EVICTED, evictedIncarnations);
        }
        return json;
    }

    /**
     * Returns the owner of a machine, which receives its heartbeats: the member to which it was reassigned, unless that
     * one has left or is cordoned; else the active member with the highest hash, or null if the view has no members.
     */
    public String owner(String machine) {
        String newOwner = reassigned.get(machine);
        if (newOwner != null && members.containsKey(newOwner) && !cordoned.contains(newOwner)) {
            return newOwner;
        }
        return highestHash(machine, activeMembers());
    }

    /** Returns the member that would own a machine if its owner left the view, or null if there is no other member. */
    public String successor(String machine) {
        Set<String> others = new TreeSet<>(activeMembers());
        others.remove(owner(machine));
        return highestHash(machine, others);
    }

    /** Returns whether an incarnation of a node was removed from the view before its lease had ended. */
    public boolean wasEvicted(String node, long incarnation) {
        Long evictedIncarnation = evicted.get(node);
        return evictedIncarnation != null && evictedIncarnation == incarnation;
    }

    /** Returns the member with the highest hash for a name, cordoned members included; null without members. */
    public String rendezvousOwner(String name) {
        return highestHash(name, members.keySet());
    }

    /** Returns the members that own machines: those that are not cordoned, or all members if all are cordoned. */
    public Set<String> activeMembers() {
        Set<String> active = new TreeSet<>(members.keySet());
        active.removeAll(cordoned);
        return active.isEmpty() ? members.keySet() : active;
    }

    /** Rendezvous hashing: returns the node whose hash with the name is highest, or null if there are no nodes. */
    private static String highestHash(String name, Set<String> nodes) {
        long nameHash = HASH.hashString(name, StandardCharsets.UTF_8).asLong();
        String best = null;
        long bestHash = 0;
        for (String node : nodes) {
            long hash = HashCommon.murmurHash3(nameHash ^ HashCommon.mix(node.hashCode() * 0x9E3779B97F4A7C15L));
            if (best == null || Long.compareUnsigned(hash, bestHash) > 0) {
                best = node;
                bestHash = hash;
            }
        }
        return best;
    }

    /** Returns the member that rents and returns machines, or null if the view has no members. */
    public String provisioningLeader() {
        return members.isEmpty() ? null : activeMembers().iterator().next();
    }
}
