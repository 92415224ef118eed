package org.havenford.storage;

import com.google.gson.JsonObject;
import org.havenford.protocol.Json;

/** Outcome of a call, and the body of the response where there is one. */
public record StoreResult(StoreOutcome outcome, JsonObject body) {
    /** Whether the call was carried out. */
    public boolean ok() {
        return outcome == StoreOutcome.OK;
    }

    /** The store's edition that the response names, or 0. */
    public long revision() {
        try {
            return body == null ? 0 : Json.countOr(body, "edition", 0);
        } catch (Json.BadMessage e) {
            return 0;
        }
    }
}
