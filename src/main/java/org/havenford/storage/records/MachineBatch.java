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
 * Machines that were rented or adopted together, stored under one key. The value holds only their names, common
 * properties and service states. Hundreds of machines can thus be added and removed with a few writes, and the key
 * changes seldom enough for each claim to require its mod revision.
 *
 * @param since when the machines were rented or adopted
 * @param machines the service states of the machines, by name
 */
public record MachineBatch(
        String name, String type, String zone, boolean spot, Instant since, TreeMap<String, ServiceState> machines) {
    // Names of stored fields. Versions in production read and write them, so they must not change.
    private static final String TYPE = "t";
    private static final String ZONE = "z";
    private static final String SPOT = "b";
    private static final String SINCE = "at";
    private static final String MACHINES = "m";

    /** Length of the longest name of a service state. */
    public static final int MAX_SERVICE_STATE_BYTES = 10;

    /** Maximum number of machines in one batch. */
    public static final int MAX_MACHINES = 50;

    /** Whether a machine can be claimed or is to be returned to the cloud. */
    public enum ServiceState {
        /** The machine can be claimed. */
        IN_SERVICE,
        /** The machine is to be returned unless a claim was made on it just before. */
        RETIRING,
        /** The machine is to be returned. */
        RETURNING
    }

    /** Creates a batch whose machines are all in service. */
    public static MachineBatch of(
            String name, String type, String zone, boolean spot, Instant since, Collection<String> machines) {
        TreeMap<String, ServiceState> states = new TreeMap<>();
        machines.forEach(machine -> states.put(machine, ServiceState.IN_SERVICE));
        return new MachineBatch(name, type, zone, spot, since, states);
    }

    /** Returns the batch with another service state for one machine. */
    public MachineBatch withServiceState(String machine, ServiceState state) {
        TreeMap<String, ServiceState> next = new TreeMap<>(machines);
        next.put(machine, state);
        return new MachineBatch(name, type, zone, spot, since, next);
    }

    /** Returns the batch without the given machines. */
    public MachineBatch withoutMachines(Collection<String> removed) {
        TreeMap<String, ServiceState> next = new TreeMap<>(machines);
        next.keySet().removeAll(removed);
        return new MachineBatch(name, type, zone, spot, since, next);
    }

    /** Returns the value to store. */
    public JsonObject toJson() {
        JsonObject json = new JsonObject();
        json.addProperty(TYPE, type);
        json.addProperty(ZONE, zone);
        json.addProperty(SPOT, spot);
        json.addProperty(SINCE, since.toEpochMilli());
        JsonObject states = new JsonObject();
        machines.forEach(
                (machine, state) -> states.addProperty(machine, state.name().toLowerCase(Locale.ROOT)));
        json.add(MACHINES, states);
        return json;
    }

    /** Parses a stored value. */
    public static MachineBatch parse(String name, JsonObject json) throws MalformedMessageException {
        TreeMap<String, ServiceState> states = new TreeMap<>();
        for (Map.Entry<String, JsonElement> entry : Json.child(json, MACHINES).entrySet()) {
            states.put(
                    entry.getKey(),
                    ServiceState.valueOf(entry.getValue().getAsString().toUpperCase(Locale.ROOT)));
        }
        return new MachineBatch(
                name,
                Json.text(json, TYPE),
                Json.text(json, ZONE),
                Json.flagOr(json, SPOT, false),
                Instant.ofEpochMilli(Json.count(json, SINCE)),
                states);
    }
}
