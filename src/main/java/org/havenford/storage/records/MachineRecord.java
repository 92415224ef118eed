package org.havenford.storage.records;

import java.time.Instant;
import java.util.List;

/**
 * What the store knows of a machine: from the batch it came with, and from what its owner last reported of it.
 *
 * @param since since when its owner has reported the same condition; when it was rented, where nothing was reported
 * @param images images in the machine's cache, as its owner last reported
 */
public record MachineRecord(
        String name, String type, String zone, boolean spot, Condition condition, Instant since, List<String> images) {

    /** What is known of a machine's availability. */
    public enum Condition {
        /** Rented, has not reported yet. */
        BOOTING,
        /** Reports to its owner and takes claims. */
        UP,
        /** Has not reported for a while; its tasks may be running. */
        SILENT,
        /** Takes no more tasks. */
        DRAINING,
        /** Tasks of several jobs have failed on it. */
        FAULTY,
        /** Idle, takes no more claims; goes back to the cloud if none was made just before, and to work otherwise. */
        RETIRING,
        /** To be given back to the cloud: no claim can be made on it any more. */
        RETURNING
    }
}
