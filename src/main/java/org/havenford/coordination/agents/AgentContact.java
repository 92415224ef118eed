package org.havenford.coordination.agents;

/**
 * Data about an agent that its owner holds in memory only and passes to its warm standbys, so that a new owner can call the
 * agent.
 *
 * @param machine the agent's machine
 * @param endpoint host and port of the agent
 * @param incarnation the agent's incarnation
 * @param heartbeatSequence the sequence number of the newest unsolicited heartbeat of this incarnation, or 0 if there
 *     is none
 * @param fencingToken the highest fencing token that the agent has seen or was sent
 */
public record AgentContact(
        String machine, String endpoint, long incarnation, long heartbeatSequence, long fencingToken) {}
