package org.havenford.storage.records;

import com.google.gson.JsonObject;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;

/**
 * The question to a suspected member whether it is alive, stored under {@link Keys#livenessProbe}. The member answers by
 * removing the key. A probe must be answered whoever sent it, so a value of any form is accepted.
 *
 * @param requester the member that asks, or null where the value does not say so in a readable form
 * @param incarnation the suspected incarnation of the member, or null where the value does not say so in a readable form
 * @param readError why the requester can't be read, or null where nothing is wrong with it
 */
public record LivenessProbe(String requester, Long incarnation, String readError) {
    // Stored field names; versions in production read and write them, so they must not change.
    private static final String REQUESTER = "by";
    private static final String INCARNATION = "incarnation";

    /** A probe to be stored. */
    public LivenessProbe(String requester, long incarnation) {
        this(requester, incarnation, null);
    }

    /** The value to store. */
    public JsonObject toJson() {
        JsonObject value = new JsonObject();
        value.addProperty(REQUESTER, requester);
        value.addProperty(INCARNATION, incarnation);
        return value;
    }

    /** Reads a stored value; what can't be read of it is left out. */
    public static LivenessProbe parse(JsonObject value) {
        Long incarnation = incarnation(value);
        try {
            return new LivenessProbe(Json.textOr(value, REQUESTER, null), incarnation, null);
        } catch (MalformedMessageException e) {
            return new LivenessProbe(null, incarnation, e.getMessage());
        }
    }

    private static Long incarnation(JsonObject value) {
        try {
            return Json.has(value, INCARNATION) ? Json.count(value, INCARNATION) : null;
        } catch (MalformedMessageException e) {
            return null;
        }
    }
}
