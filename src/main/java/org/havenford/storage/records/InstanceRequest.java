package org.havenford.storage.records;

import com.google.gson.JsonObject;
import java.time.Instant;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;

/**
 * An intent to rent instances, stored under {@link Keys#instanceRequest} before the request is sent to the cloud.
 *
 * @param name the name of the request, which is also sent to the cloud
 * @param type the machine type
 * @param count number of instances
 * @param requestedAt when the request was created, by the time of day of the controller that created it
 */
public record InstanceRequest(String name, String type, String zone, boolean spot, int count, Instant requestedAt) {
    // Names of stored fields. Versions in production read and write them, so they must not change.
    private static final String TYPE = "t";
    private static final String ZONE = "z";
    private static final String SPOT = "b";
    private static final String COUNT = "n";
    private static final String REQUESTED_AT = "at";

    /** Returns the value to store. */
    public JsonObject toJson() {
        JsonObject value = new JsonObject();
        value.addProperty(TYPE, type);
        value.addProperty(ZONE, zone);
        value.addProperty(SPOT, spot);
        value.addProperty(COUNT, count);
        value.addProperty(REQUESTED_AT, requestedAt.toEpochMilli());
        return value;
    }

    /** Parses the stored value of the request with the given name. */
    public static InstanceRequest parse(String name, JsonObject value) throws MalformedMessageException {
        return new InstanceRequest(
                name,
                Json.text(value, TYPE),
                Json.text(value, ZONE),
                Json.flagOr(value, SPOT, false),
                (int) Json.count(value, COUNT),
                Instant.ofEpochMilli(Json.count(value, REQUESTED_AT)));
    }
}
