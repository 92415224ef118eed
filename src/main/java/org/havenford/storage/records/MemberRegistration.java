package org.havenford.storage.records;

import com.google.gson.JsonObject;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;

/**
 * The registration of a member, stored under {@link Keys#member} and attached to the member's lease.
 *
 * @param incarnation id of the lease with which the member registered
 * @param format the newest format of stored values that the member's version reads and writes
 */
public record MemberRegistration(long incarnation, long format) {
    // Names of stored fields. Versions in production read and write them, so they must not change.
    private static final String INCARNATION = "incarnation";
    private static final String FORMAT = "format";

    /** The format of versions that do not write one into their registration. */
    private static final long FIRST_FORMAT = 1;

    /** Returns the value to store. */
    public JsonObject toJson() {
        JsonObject value = new JsonObject();
        value.addProperty(INCARNATION, incarnation);
        value.addProperty(FORMAT, format);
        return value;
    }

    /** Parses a value stored by this version or an earlier one. */
    public static MemberRegistration parse(JsonObject value) throws MalformedMessageException {
        return new MemberRegistration(Json.count(value, INCARNATION), Json.countOr(value, FORMAT, FIRST_FORMAT));
    }
}
