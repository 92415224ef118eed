package org.havenford.coordination.agents;

/** How a command reaches an agent. */
enum CommandChannel {
    /** In the response to a heartbeat, which renews the agent's lease. */
    RESPONSE,
    /** In a direct call, which does not renew the agent's lease. */
    DIRECT_CALL
}
