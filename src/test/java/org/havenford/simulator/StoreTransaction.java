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
record StoreTransaction(List<Condition> conditions, List<Operation> operations, int bodyLength) {
    private static final int MAX_BODY_LENGTH = 64 * 1024;
    private static final int MAX_CONDITIONS_PER_OPERATION = 4;

    /** Requires that a key has this mod revision; 0 means that the key must not exist. */
    record Condition(String key, long modRevision) {}

    /** Sets a key and binds it to the lease, if any; or deletes the key, if the value is null. */
    record Operation(String key, JsonElement value, OptionalLong leaseId) {
        boolean isDelete() {
            return value == null;
        }

        int valueLength() {
            return value == null ? 0 : value.toString().length();
        }

        private static Operation parse(JsonObject json) {
            OptionalLong leaseId =
                    json.has("permit") ? OptionalLong.of(json.get("permit").getAsLong()) : OptionalLong.empty();
            return json.has("set")
                    ? new Operation(json.get("set").getAsString(), Objects.requireNonNull(json.get("v"), "v"), leaseId)
                    : new Operation(json.get("delete").getAsString(), null, leaseId);
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
        List<Operation> operations = new ArrayList<>();
        for (JsonElement element : operations(json)) {
            operations.add(Operation.parse(element.getAsJsonObject()));
        }
        return new StoreTransaction(conditions, operations, body.length());
    }

    /** Returns the number of operations in a request body. */
    static int countOperations(String body) {
        return operations(JsonParser.parseString(body).getAsJsonObject()).size();
    }

    private static JsonArray operations(JsonObject json) {
        return json.getAsJsonArray("writes");
    }

    /** Returns whether the transaction exceeds the limits on operations, conditions or the length of the body. */
    boolean exceeds(int maxOperations) {
        return operations.size() > maxOperations
                || conditions.size() > MAX_CONDITIONS_PER_OPERATION * maxOperations
                || bodyLength > MAX_BODY_LENGTH;
    }

    /** Returns the length of the longest value that the transaction sets, or 0 if it sets none. */
    int longestValueLength() {
        return operations.stream().mapToInt(Operation::valueLength).max().orElse(0);
    }
}
