package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.havenford.coordination.membership.Membership;

/**
 * Agents that report here although another controller owns their machines. One that is redirected to its owner and comes
 * back has not reached it. Moving the machine costs an epoch, so it is requested only after several heartbeats; by then an
 * owner that many don't reach has been cordoned.
 */
final class RedirectedAgents {
    /** Heartbeats further apart than this have nothing to do with each other. */
    private static final Duration MAX_GAP = Duration.ofSeconds(15);

    private static final Duration RETENTION = Duration.ofMinutes(1);
    /** Fraction of an agent's lease during which it has to come back before its machine is moved: one third. */
    private static final int LEASE_DIVISOR = 3;

    private record Heartbeats(Instant first, Instant last) {}

    private final Membership membership;
    private final Duration patience;
    private final Map<String, Heartbeats> agents = new HashMap<>();

    RedirectedAgents(Membership membership, Duration agentLease) {
        this.membership = membership;
        this.patience = agentLease.dividedBy(LEASE_DIVISOR);
    }

    /** A heartbeat came whose machine another controller owns. */
    void reported(String machine, Instant now) {
        Heartbeats before = agents.get(machine);
        if (before == null || now.isAfter(before.last().plus(MAX_GAP))) {
            // One heartbeat means nothing: a new machine asks anybody, and each change of view redirects agents.
            agents.put(machine, new Heartbeats(now, now));
            return;
        }
        agents.put(machine, new Heartbeats(before.first(), now));
        membership.recordMisdirectedHeartbeat(machine, membership.owner(machine));
        if (now.isAfter(before.first().plus(patience))) {
            membership.requestReassignment(machine);
            agents.remove(machine);
        }
    }

    /** A heartbeat came whose machine this controller owns. */
    void arrived(String machine) {
        agents.remove(machine);
    }

    /** Heartbeats from before a pause and those that follow it have nothing to do with each other. */
    void processPaused() {
        agents.clear();
    }

    /** Forgets agents that have not reported here for long. */
    void forgetOld(Instant now) {
        agents.values().removeIf(heartbeats -> now.isAfter(heartbeats.last().plus(RETENTION)));
    }
}
