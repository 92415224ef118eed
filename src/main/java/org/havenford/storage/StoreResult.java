package org.havenford.storage;

import com.google.gson.JsonObject;
import java.util.List;
import org.havenford.protocol.MalformedMessageException;

/** Outcome of a call, and the body of the store's response if there was one. */
public final class StoreResult {
    private final StoreOutcome outcome;
    /** Body of the response; null if there was no response, or an empty one. */
    private final JsonObject body;

    StoreResult(StoreOutcome outcome, JsonObject body) {
        this.outcome = outcome;
        this.body = body;
    }

    /** Creates a result whose outcome does not come from a response. */
    static StoreResult withoutResponse(StoreOutcome outcome) {
        return new StoreResult(outcome, null);
    }

    /** Returns the outcome of the call. */
    public StoreOutcome outcome() {
        return outcome;
    }

    /** Returns whether the call was executed. */
    public boolean ok() {
        return outcome == StoreOutcome.OK;
    }

    /** Returns the store revision in the response, or 0 if there is none. */
    public long revision() {
        try {
            return body == null ? 0 : StoreWireCodec.revision(body);
        } catch (MalformedMessageException e) {
            return 0;
        }
    }

    /**
     * Returns the id of the lease that was created.
     *
     * @throws MalformedMessageException if the response does not contain it
     */
    public long leaseId() throws MalformedMessageException {
        return StoreWireCodec.leaseId(body);
    }

    /**
     * Returns the value of the key that was read.
     *
     * @throws MalformedMessageException if the response does not contain it
     */
    public JsonObject value() throws MalformedMessageException {
        return StoreWireCodec.value(body);
    }

    /**
     * Returns the mod revision of the key that was read.
     *
     * @throws MalformedMessageException if the response does not contain it
     */
    public long modRevision() throws MalformedMessageException {
        return StoreWireCodec.modRevision(body);
    }

    /**
     * Returns the keys whose conditions did not hold in a conflict; empty if the response contains none.
     *
     * @throws MalformedMessageException if the list can't be parsed
     */
    public List<String> conflictingKeys() throws MalformedMessageException {
        return StoreWireCodec.conflictingKeys(body);
    }

    /** Visits the keys of a page in order. If an entry is malformed, those before it have already been visited. */
    void visitEntries(StoreWireCodec.KeyVisitor visitor) throws MalformedMessageException {
        StoreWireCodec.visitEntries(body, visitor);
    }

    /** Returns whether more keys follow those of this page. */
    boolean hasMorePages() throws MalformedMessageException {
        return StoreWireCodec.hasMorePages(body);
    }

    /**
     * Visits the changes that a watch returned in order, and returns their number. If a change is malformed, those
     * before it have already been visited.
     */
    int visitEvents(StoreWireCodec.KeyVisitor visitor) throws MalformedMessageException {
        return StoreWireCodec.visitEvents(body, visitor);
    }
}
