package org.havenford.coordination.agents;

/** How a heartbeat has come here. */
enum HeartbeatOrigin {
    /** The agent sent it by itself; the response renews its lease. */
    AGENT,
    /** It came in the reply to direct commands, and renews no lease. */
    COMMAND_REPLY
}
