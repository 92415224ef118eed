package org.havenford.coordination.agents;

/**
 * What an owner knows of an agent that is not in the store.
 *
 * @param machine the agent's machine
 * @param endpoint host and port at which the agent is reached
 * @param incarnation the agent's incarnation
 * @param heartbeatSequence the sequence of the newest heartbeat that it sent by itself, 0 if none came of this incarnation
 * @param fencingToken the highest fencing token that it has seen or that was sent to it
 */
public record AgentContact(
        String machine, String endpoint, long incarnation, long heartbeatSequence, long fencingToken) {}
