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
 * A transaction as a controller sends it to the state service: if all conditions hold, all writes are applied at once.
 *
 * @param bodyLength length of the request's body in characters
 */
record StoreTransaction(List<Condition> conditions, List<Write> writes, int bodyLength) {
    private static final int MAX_BODY_LENGTH = 64 * 1024;
    private static final int MAX_CONDITIONS_PER_OPERATION = 4;

    /** A key must be at this revision; revision 0 says that it must not exist. */
    record Condition(String key, long revision) {}

    /** Sets a key, or deletes it if the value is null; a key that is bound to a lease is deleted when the lease expires. */
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

    /** Reads the body of a request; one that is not a transaction fails the test. */
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

    /** The number of writes in the body of a request. */
    static int countWrites(String body) {
        return writes(JsonParser.parseString(body).getAsJsonObject()).size();
    }

    private static JsonArray writes(JsonObject json) {
        return json.getAsJsonArray("writes");
    }

    /** Whether the transaction is too large for the service, given the most writes of one transaction. */
    boolean exceeds(int maxOperations) {
        return writes.size() > maxOperations
                || conditions.size() > MAX_CONDITIONS_PER_OPERATION * maxOperations
                || bodyLength > MAX_BODY_LENGTH;
    }

    /** The length of the longest value that is written. */
    int longestValue() {
        return writes.stream().mapToInt(Write::valueLength).max().orElse(0);
    }
}
