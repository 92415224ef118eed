package org.havenford.storage;

/** Priorities of calls to the store, highest first. */
public enum CallPriority {
    /** Calls for leases, and transactions on the cluster view and on liveness probes. */
    LEASE,
    /** Page reads and watches of the replica, which limits the rate of its watches itself. */
    WATCH,
    /** Calls on which the answer to a user request depends. */
    USER,
    /** Claims, and other calls that the start of tasks depends on. */
    CLAIM,
    /** Other required calls, such as releases and updates of records. */
    WORK,
    /** Optional status updates that no decision depends on. */
    SPARE
}
