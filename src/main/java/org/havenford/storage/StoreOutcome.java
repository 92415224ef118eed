package org.havenford.storage;

/** Outcome of a call to the store. */
public enum StoreOutcome {
    /** The call was executed. */
    OK,
    /** The transaction was not executed, since one of its conditions did not hold. */
    CONFLICT,
    /** The key or lease does not exist. */
    ABSENT,
    /** The transaction was not sent, since its conditions were known to fail. */
    STALE,
    /** The call was not executed, and will not be executed later. */
    NOT_EXECUTED,
    /** The call may have been executed, or may be executed later. */
    UNKNOWN,
    /** The store rejected the request as malformed, too large, or based on a revision that it no longer keeps. */
    REJECTED
}
