package org.havenford.simulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.Set;
import org.havenford.transport.HttpCalls.Reply;

/**
 * Makes a controller of this version behave towards the state service like one of the version before format 2: fields
 * that format 2 added are removed from the values that the controller writes and from those that it reads.
 */
final class FormatOneStandIn {
    private static final Set<String> FIELDS_ADDED_IN_FORMAT_2 = Set.of("format", "awaits", "_ready");
    private static final String TASK_RANGE_PREFIX = "live/tasks/";
    private static final String COMPACT_CLAIMS = "s";

    private FormatOneStandIn() {}

    /** Removes the added fields from the values of a transaction. */
    static String written(String body) {
        JsonObject transaction = JsonParser.parseString(body).getAsJsonObject();
        for (JsonElement operation : transaction.getAsJsonArray("writes")) {
            JsonObject json = operation.getAsJsonObject();
            if (json.has("set")) {
                removeAddedFields(json.get("set").getAsString(), json.get("v"));
            }
        }
        return transaction.toString();
    }

    private static void removeAddedFields(String key, JsonElement value) {
        FIELDS_ADDED_IN_FORMAT_2.forEach(value.getAsJsonObject()::remove);
        if (key.startsWith("final/")) {
            value.getAsJsonObject().remove("at");
        }
    }

    /**
     * Removes the added fields from the values in a reply of the state service. A value that the older version cannot parse
     * is recorded as a violation of the rule {@code unreadable}.
     */
    static Reply read(ClusterSimulator simulator, String node, Reply reply) {
        if (reply.status() != 200 || !reply.body().startsWith("{")) {
            return reply;
        }
        JsonObject body = JsonParser.parseString(reply.body()).getAsJsonObject();
        for (String list : new String[] {"items", "log"}) {
            JsonArray entries = body.has(list) ? body.getAsJsonArray(list) : new JsonArray();
            for (JsonElement entry : entries) {
                translateEntry(simulator, node, entry.getAsJsonObject());
            }
        }
        if (body.has("k")) {
            translateEntry(simulator, node, body);
        }
        return new Reply(200, body.toString());
    }

    private static void translateEntry(ClusterSimulator simulator, String node, JsonObject entry) {
        if (!entry.has("v")) {
            return;
        }
        String key = entry.get(entry.has("k") ? "k" : "set").getAsString();
        JsonElement value = entry.get("v").deepCopy();
        if (key.startsWith(TASK_RANGE_PREFIX) && value.getAsJsonObject().has(COMPACT_CLAIMS)) {
            simulator.invariants.recordViolation("unreadable", key + " is in a form that " + node + " can't read");
        }
        removeAddedFields(key, value);
        entry.add("v", value);
    }
}
