package org.havenford.storage;

/** Classes of calls, the one that is sent first at the front. */
public enum CallPriority {
    /** Leases, and the view that depends on them. */
    LEASE,
    /** The watch, whose rate its owner limits. */
    WATCH,
    /** What somebody waits for. */
    USER,
    /** Claims: work that waits for its start. */
    CLAIM,
    /** Releases, records and the like. */
    WORK,
    /** Hints that nothing depends on. */
    SPARE
}
