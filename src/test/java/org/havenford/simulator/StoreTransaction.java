package org.havenford.simulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * A transaction that a controller sent to the state service: if all conditions hold, all operations are applied
 * atomically.
 *
 * @param bodyLength the length of the request body in characters
 */
record StoreTransaction(List<Condition> conditions, List<Write> writes, int bodyLength) {
    private static final int MAX_BODY_LENGTH = 64 * 1024;
    private static final int MAX_CONDITIONS_PER_OPERATION = 4;

    /** Requires that a key has this mod revision; 0 means that the key must not exist. */
    record Condition(String key, long revision) {}

    /** Sets a key and binds it to the lease, if any; or deletes the key, if the value is null. */
    record Write(String key, JsonElement value, OptionalLong lease) {
        boolean deletes() {
            return value == null;
        }

        int valueLength() {
            return value == null ? 0 : value.toString().length();
        }

        private static Write parse(JsonObject json) {
            OptionalLong lease =
                    json.has("permit") ? OptionalLong.of(json.get("permit").getAsLong()) : OptionalLong.empty();
            return json.has("set")
                    ? new Write(json.get("set").getAsString(), Objects.requireNonNull(json.get("v"), "v"), lease)
                    : new Write(json.get("delete").getAsString(), null, lease);
        }
    }

    /** Parses a request body; a body that is not a transaction fails the test with an exception. */
    static StoreTransaction parse(String body) {
        JsonObject json = JsonParser.parseString(body).getAsJsonObject();
        List<Condition> conditions = new ArrayList<>();
        for (JsonElement element : json.getAsJsonArray("guards")) {
            JsonObject condition = element.getAsJsonObject();
            conditions.add(new Condition(
                    condition.get("k").getAsString(), condition.get("stamp").getAsLong()));
        }
        List<Write> writes = new ArrayList<>();
        for (JsonElement element : writes(json)) {
            writes.add(Write.parse(element.getAsJsonObject()));
        }
        return new StoreTransaction(conditions, writes, body.length());
    }

    /** Returns the number of operations in a request body. */
    static int countWrites(String body) {
        return writes(JsonParser.parseString(body).getAsJsonObject()).size();
    }

    private static JsonArray writes(JsonObject json) {
        return json.getAsJsonArray("writes");
    }

    /** Returns whether the transaction exceeds the limits on operations, conditions or the length of the body. */
    boolean exceeds(int maxOperations) {
        return writes.size() > maxOperations
                || conditions.size() > MAX_CONDITIONS_PER_OPERATION * maxOperations
                || bodyLength > MAX_BODY_LENGTH;
    }

    /** Returns the length of the longest value that the transaction sets, or 0 if it sets none. */
    int longestValue() {
        return writes.stream().mapToInt(Write::valueLength).max().orElse(0);
    }
}
