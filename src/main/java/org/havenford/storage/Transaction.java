package org.havenford.storage;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A guarded transaction. */
public final class Transaction {
    private final JsonArray conditionCount = new JsonArray();
    private final JsonArray operationCount = new JsonArray();
    private final Map<String, Long> requiredRevisions = new LinkedHashMap<>();
    private final List<String> keys = new ArrayList<>();
    private final List<JsonElement> values = new ArrayList<>();

    /** Adds a condition: the key has this stamp; 0 means that it does not exist. */
    public Transaction requireRevision(String key, long stamp) {
        JsonObject g = new JsonObject();
        g.addProperty("k", key);
        g.addProperty("stamp", stamp);
        conditionCount.add(g);
        requiredRevisions.put(key, stamp);
        return this;
    }

    /** Adds a change that sets a key. */
    public Transaction put(String key, JsonElement value) {
        return put(key, value, 0);
    }

    /** Adds a change that sets a key and attaches it to a lease. */
    public Transaction put(String key, JsonElement value, long permit) {
        JsonObject w = new JsonObject();
        w.addProperty("set", key);
        w.add("v", value);
        if (permit != 0) {
            w.addProperty("permit", permit);
        }
        operationCount.add(w);
        keys.add(key);
        values.add(value);
        return this;
    }

    /** Adds a change that deletes a key. */
    public Transaction delete(String key) {
        JsonObject w = new JsonObject();
        w.addProperty("delete", key);
        operationCount.add(w);
        keys.add(key);
        values.add(null);
        return this;
    }

    /** Number of changes. */
    public int operationCount() {
        return operationCount.size();
    }

    /** Guarded keys, and the stamps that they must have. */
    public Map<String, Long> requiredRevisions() {
        return requiredRevisions;
    }

    /** Number of conditions. */
    public int conditionCount() {
        return conditionCount.size();
    }

    /** Keys that are changed, in order. */
    public List<String> keys() {
        return keys;
    }

    /** Values that are set, in the order of the keys; null for a deletion. */
    public List<JsonElement> values() {
        return values;
    }

    String text() {
        JsonObject json = new JsonObject();
        json.add("guards", conditionCount);
        json.add("writes", operationCount);
        return json.toString();
    }
}
