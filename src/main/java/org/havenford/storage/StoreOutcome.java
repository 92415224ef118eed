package org.havenford.storage;

/** NOT_EXECUTED and STALE can't happen any more, STALE was not even sent; UNKNOWN may have happened or may yet. */
public enum StoreOutcome {
    OK,
    CONFLICT,
    ABSENT,
    STALE,
    NOT_EXECUTED,
    UNKNOWN,
    REJECTED
}
