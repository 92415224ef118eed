package org.havenford.storage.records;

import com.google.gson.JsonObject;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;

/**
 * A request to a suspected member to prove that it is alive, stored under {@link Keys#livenessProbe}. The member
 * answers by deleting the key. It must answer regardless of the requester, so a malformed value is accepted too.
 *
 * @param requester the member that created the probe, or null if the field is absent or malformed
 * @param incarnation the suspected incarnation of the member, or null if the field is absent or malformed
 * @param readError why the requester is malformed, or null if it is not
 */
public record LivenessProbe(String requester, Long incarnation, String readError) {
    // Names of stored fields. Versions in production read and write them, so they must not change.
    private static final String REQUESTER = "by";
    private static final String INCARNATION = "incarnation";

    /** Creates a probe to store. */
    public LivenessProbe(String requester, long incarnation) {
        this(requester, incarnation, null);
    }

    /** Returns the value to store. */
    public JsonObject toJson() {
        JsonObject value = new JsonObject();
        value.addProperty(REQUESTER, requester);
        value.addProperty(INCARNATION, incarnation);
        return value;
    }

    /** Parses a stored value; absent and malformed fields become null. */
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
