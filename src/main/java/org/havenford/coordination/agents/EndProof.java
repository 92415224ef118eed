package org.havenford.coordination.agents;

/** What proves that an attempt has ended, so that its claim may be released. */
enum EndProof {
    /** The agent reports the attempt as exited. */
    REPORTED_EXIT,
    /** A heartbeat lacks the attempt, and no run command for it can still take effect. */
    ABSENT_FROM_HEARTBEAT,
    /** The agent has started a later incarnation than that of the claim. */
    LATER_INCARNATION,
    /** The agent's lease has expired. */
    LEASE_EXPIRED,
    /** The cloud has confirmed that the machine is gone. */
    MACHINE_GONE
}
