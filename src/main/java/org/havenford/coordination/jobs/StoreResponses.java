package org.havenford.coordination.jobs;

import java.util.List;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.StoreResult;
import org.havenford.storage.records.Job;

/** Parses store results that concern jobs. */
final class StoreResponses {
    private StoreResponses() {}

    /** Parses a job header that was read from the store. */
    static Job parseHeader(StoreResult result) throws MalformedMessageException {
        return Job.parse(result.value());
    }

    /** Returns the keys whose conditions failed, or an empty list if the result does not contain valid keys. */
    static List<String> conflictingKeys(StoreResult result) {
        try {
            return result.conflictingKeys();
        } catch (MalformedMessageException e) {
            return List.of();
        }
    }
}
