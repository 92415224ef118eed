package org.havenford.storage;

/** What became of a call to the store. */
public enum StoreOutcome {
    /** Carried out. */
    OK,
    /** Not carried out: a condition of the transaction did not hold. */
    CONFLICT,
    /** The key or lease does not exist. */
    ABSENT,
    /** Not even sent: the transaction's conditions were known to fail. */
    STALE,
    /** Not carried out, and it can't be any more. */
    NOT_EXECUTED,
    /** It may have been carried out, or may yet be. */
    UNKNOWN,
    /** Not carried out: the store calls the request malformed, too large or too old. */
    REJECTED
}
