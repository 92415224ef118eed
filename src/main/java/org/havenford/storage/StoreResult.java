package org.havenford.storage;

import com.google.gson.JsonObject;
import java.util.List;
import org.havenford.protocol.Json;

/** Outcome of a call, and what the store's response says where there was one. */
public final class StoreResult {
    private final StoreOutcome outcome;
    /** Null where there was no response, or an empty one. */
    private final JsonObject body;

    StoreResult(StoreOutcome outcome, JsonObject body) {
        this.outcome = outcome;
        this.body = body;
    }

    /** The outcome of a call that no response tells about. */
    static StoreResult withoutResponse(StoreOutcome outcome) {
        return new StoreResult(outcome, null);
    }

    /** What became of the call. */
    public StoreOutcome outcome() {
        return outcome;
    }

    /** Whether the call was carried out. */
    public boolean ok() {
        return outcome == StoreOutcome.OK;
    }

    /** The store's revision that the response names, or 0 if it names none. */
    public long revision() {
        try {
            return body == null ? 0 : StoreWireCodec.revision(body);
        } catch (Json.BadMessage e) {
            return 0;
        }
    }

    /**
     * Id of the lease that was created.
     *
     * @throws Json.BadMessage if the response does not name it
     */
    public long leaseId() throws Json.BadMessage {
        return StoreWireCodec.leaseId(body);
    }

    /**
     * Value of the key that was read.
     *
     * @throws Json.BadMessage if the response does not hold it
     */
    public JsonObject value() throws Json.BadMessage {
        return StoreWireCodec.value(body);
    }

    /**
     * Mod revision of the key that was read.
     *
     * @throws Json.BadMessage if the response does not name it
     */
    public long modRevision() throws Json.BadMessage {
        return StoreWireCodec.modRevision(body);
    }

    /**
     * After a conflict, the keys whose conditions did not hold; empty if the response names none.
     *
     * @throws Json.BadMessage if the list can't be read
     */
    public List<String> conflictingKeys() throws Json.BadMessage {
        return StoreWireCodec.conflictingKeys(body);
    }

    /** Visits the keys of a page in their order. What comes before a malformed one has then been visited. */
    void visitEntries(StoreWireCodec.KeyVisitor visitor) throws Json.BadMessage {
        StoreWireCodec.visitEntries(body, visitor);
    }

    /** Whether more keys follow those of this page. */
    boolean hasMorePages() throws Json.BadMessage {
        return StoreWireCodec.hasMorePages(body);
    }

    /**
     * Visits the changes that a watch returned in their order, and returns their number. What comes before a malformed one
     * has then been visited.
     */
    int visitEvents(StoreWireCodec.KeyVisitor visitor) throws Json.BadMessage {
        return StoreWireCodec.visitEvents(body, visitor);
    }
}
