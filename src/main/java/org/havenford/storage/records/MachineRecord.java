package org.havenford.storage.records;

import java.time.Instant;
import java.util.List;

/**
 * The stored state of a machine, combined from its batch and from the status that its owner last reported.
 *
 * @param since when its owner first reported the current condition; without a report, when the machine was rented
 * @param images images in the machine's cache, as last reported by its owner
 */
public record MachineRecord(
        String name, String type, String zone, boolean spot, Condition condition, Instant since, List<String> images) {

    /** The availability of a machine. */
    public enum Condition {
        /** Rented; its owner has not reported a status yet. */
        BOOTING,
        /** Sends heartbeats to its owner and can be claimed. */
        UP,
        /** Has not sent a heartbeat for a while; its tasks may still be running. */
        SILENT,
        /** Accepts no new tasks. */
        DRAINING,
        /** Tasks of several jobs have failed on it. */
        FAULTY,
        /**
         * Idle and no longer claimable; returned to the cloud, or put back in service if it was claimed just before.
         */
        RETIRING,
        /** To be returned to the cloud; no longer claimable. */
        RETURNING
    }
}
