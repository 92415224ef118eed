package org.havenford.coordination.agents;

/** The way in which a heartbeat was received. */
enum HeartbeatOrigin {
    /** The agent sent the heartbeat unsolicited; the response renews the agent's lease. */
    UNSOLICITED,
    /** The heartbeat was part of the reply to a direct call and does not renew the agent's lease. */
    COMMAND_REPLY
}
