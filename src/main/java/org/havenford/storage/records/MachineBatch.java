package org.havenford.storage.records;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.time.Instant;
import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;

/**
 * Machines that were rented or found together, under one key. It says no more than that they are there, and which of them
 * are to go; so hundreds can come and go with a few changes, and claims can be guarded by the key.
 */
public record MachineBatch(
        String name, String type, String zone, boolean spot, Instant since, TreeMap<String, ServiceState> machines) {
    // Stored field names; versions in production read and write them, so they must not change.
    private static final String TYPE = "t";
    private static final String ZONE = "z";
    private static final String SPOT = "b";
    private static final String SINCE = "at";
    private static final String MACHINES = "m";

    /** Most machines in one batch. */
    public static final int MAX_MACHINES = 50;

    /** Whether a machine takes claims, or is on its way back to the cloud. */
    public enum ServiceState {
        IN_SERVICE,
        RETIRING,
        RETURNING
    }

    /** A batch whose machines are all in service. */
    public static MachineBatch of(
            String name, String type, String zone, boolean spot, Instant since, Collection<String> machines) {
        TreeMap<String, ServiceState> all = new TreeMap<>();
        machines.forEach(machine -> all.put(machine, ServiceState.IN_SERVICE));
        return new MachineBatch(name, type, zone, spot, since, all);
    }

    /** The batch with one machine's service changed. */
    public MachineBatch with(String machine, ServiceState service) {
        TreeMap<String, ServiceState> next = new TreeMap<>(machines);
        next.put(machine, service);
        return new MachineBatch(name, type, zone, spot, since, next);
    }

    /** The batch without some machines. */
    public MachineBatch without(Collection<String> gone) {
        TreeMap<String, ServiceState> next = new TreeMap<>(machines);
        next.keySet().removeAll(gone);
        return new MachineBatch(name, type, zone, spot, since, next);
    }

    /** The stored value. */
    public JsonObject toJson() {
        JsonObject json = new JsonObject();
        json.addProperty(TYPE, type);
        json.addProperty(ZONE, zone);
        json.addProperty(SPOT, spot);
        json.addProperty(SINCE, since.toEpochMilli());
        JsonObject all = new JsonObject();
        machines.forEach(
                (machine, state) -> all.addProperty(machine, state.name().toLowerCase(Locale.ROOT)));
        json.add(MACHINES, all);
        return json;
    }

    /** Reads a stored value. */
    public static MachineBatch parse(String name, JsonObject json) throws MalformedMessageException {
        TreeMap<String, ServiceState> all = new TreeMap<>();
        for (Map.Entry<String, JsonElement> entry : Json.child(json, MACHINES).entrySet()) {
            all.put(
                    entry.getKey(),
                    ServiceState.valueOf(entry.getValue().getAsString().toUpperCase(Locale.ROOT)));
        }
        return new MachineBatch(
                name,
                Json.text(json, TYPE),
                Json.text(json, ZONE),
                Json.flagOr(json, SPOT, false),
                Instant.ofEpochMilli(Json.count(json, SINCE)),
                all);
    }
}
