package org.havenford.coordination.agents;

/** The event from which an owner counts the lease of an agent. */
enum LeaseOrigin {
    /** The machine was taken over; until then, or one membership lease later, its former owner may have renewed the lease. */
    TAKEOVER,
    /** A response that renews the lease was sent. */
    RESPONSE,
    /** A later incarnation of the agent was seen, whose lease counts from its start. */
    INCARNATION
}
