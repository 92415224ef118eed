package org.havenford.coordination.agents;

/**
 * What an owner knows of a worker that is not in the state service: where it is reached, its session, the sequence of its
 * newest report that came by itself, and the highest token that it has seen.
 */
public record AgentContact(
        String machine, String endpoint, long incarnation, long checkinSequence, long fencingToken) {}
