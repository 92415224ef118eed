package org.havenford.coordination.jobs;

import java.util.List;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.StoreResult;
import org.havenford.storage.records.Job;

/** Reads the store's responses in the terms of jobs. */
final class StoreResponses {
    private StoreResponses() {}

    /** The header of a job that was read. */
    static Job header(StoreResult result) throws MalformedMessageException {
        return Job.parse(result.value());
    }

    /** Keys whose conditions failed a transaction; empty if the store does not name them. */
    static List<String> conflictingKeys(StoreResult result) {
        try {
            return result.conflictingKeys();
        } catch (MalformedMessageException e) {
            return List.of();
        }
    }
}
