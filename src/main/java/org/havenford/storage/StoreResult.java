package org.havenford.storage;

import com.google.gson.JsonObject;
import java.util.List;
import org.havenford.protocol.MalformedMessageException;

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
        } catch (MalformedMessageException e) {
            return 0;
        }
    }

    /**
     * Id of the lease that was created.
     *
     * @throws MalformedMessageException if the response does not name it
     */
    public long leaseId() throws MalformedMessageException {
        return StoreWireCodec.leaseId(body);
    }

    /**
     * Value of the key that was read.
     *
     * @throws MalformedMessageException if the response does not hold it
     */
    public JsonObject value() throws MalformedMessageException {
        return StoreWireCodec.value(body);
    }

    /**
     * Mod revision of the key that was read.
     *
     * @throws MalformedMessageException if the response does not name it
     */
    public long modRevision() throws MalformedMessageException {
        return StoreWireCodec.modRevision(body);
    }

    /**
     * After a conflict, the keys whose conditions did not hold; empty if the response names none.
     *
     * @throws MalformedMessageException if the list can't be read
     */
    public List<String> conflictingKeys() throws MalformedMessageException {
        return StoreWireCodec.conflictingKeys(body);
    }

    /** Visits the keys of a page in their order. What comes before a malformed one has then been visited. */
    void visitEntries(StoreWireCodec.KeyVisitor visitor) throws MalformedMessageException {
        StoreWireCodec.visitEntries(body, visitor);
    }

    /** Whether more keys follow those of this page. */
    boolean hasMorePages() throws MalformedMessageException {
        return StoreWireCodec.hasMorePages(body);
    }

    /**
     * Visits the changes that a watch returned in their order, and returns their number. What comes before a malformed one
     * has then been visited.
     */
    int visitEvents(StoreWireCodec.KeyVisitor visitor) throws MalformedMessageException {
        return StoreWireCodec.visitEvents(body, visitor);
    }
}
