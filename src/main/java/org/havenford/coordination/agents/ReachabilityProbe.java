package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.havenford.coordination.membership.Membership;
import org.havenford.storage.ClusterState;
import org.havenford.transport.HttpCalls;

/** Probes some former agents periodically while this controller is cordoned, to detect when it can reach them again. */
final class ReachabilityProbe {
    private static final int MAX_AGENTS = 3;
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(2);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    /** Consecutive successful replies per probed agent after which the agents count as reachable. */
    private static final int REPLIES_PER_AGENT = 2;

    private record FormerAgent(String machine, String endpoint) {}

    private final HttpCalls calls;
    private final ClusterState clusterState;
    private final Membership membership;
    private final String node;
    private final List<FormerAgent> agents = new ArrayList<>();
    /** When the next probe is due; null before the first. */
    private Instant nextProbe;

    private int repliesInRow;

    ReachabilityProbe(AgentContext context, HttpCalls calls) {
        this.calls = calls;
        this.clusterState = context.clusterState();
        this.membership = context.membership();
        this.node = context.node();
    }

    /**
     * Restarts the count of replies after a change of the view, and drops the former agents unless this controller remains
     * cordoned; {@code wasCordoned} tells whether the previous view had cordoned it.
     */
    void viewChanged(boolean wasCordoned) {
        repliesInRow = 0;
        if (!wasCordoned || !isCordoned()) {
            agents.clear();
        }
    }

    private boolean isCordoned() {
        return membership.view().cordoned().contains(node);
    }

    /** Records an agent whose machine was reassigned to another owner, as a candidate for probes. */
    void lost(AgentState agent) {
        if (agent.hasReported() && agents.size() < MAX_AGENTS) {
            agents.add(new FormerAgent(agent.machine(), agent.heartbeat().endpoint()));
        }
    }

    /** Probes the former agents if a probe is due, or requests to be uncordoned if none is left. */
    void step(Instant now) {
        if (!isCordoned() || (nextProbe != null && now.isBefore(nextProbe))) {
            return;
        }
        nextProbe = now.plus(PROBE_INTERVAL);
        // A machine that is gone never replies; waiting for its reply kept a controller cordoned forever. Covered by
        // rests-while-machines-go.trace.
        agents.removeIf(agent -> clusterState.machine(agent.machine()) == null);
        if (agents.isEmpty()) {
            membership.requestUncordon();
        }
        for (FormerAgent agent : agents) {
            calls.call(agent.endpoint(), "GET", "/status", null, TIMEOUT, reply -> replied(reply.ok()));
        }
    }

    private void replied(boolean ok) {
        repliesInRow = ok ? repliesInRow + 1 : 0;
        if (repliesInRow >= REPLIES_PER_AGENT * agents.size()) {
            membership.requestUncordon();
        }
    }
}
