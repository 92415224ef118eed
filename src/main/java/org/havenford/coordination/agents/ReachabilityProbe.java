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
    private final List<FormerAgent> formerAgents = new ArrayList<>();
    /** When the next probe is due; null before the first. */
    private Instant nextProbe;

    private int consecutiveReplies;

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
        consecutiveReplies = 0;
        if (!wasCordoned || !isCordoned()) {
            formerAgents.clear();
        }
    }

    private boolean isCordoned() {
        return membership.view().cordoned().contains(node);
    }

    /** Records an agent whose machine was reassigned to another owner, as a candidate for probes. */
    void addFormerAgent(AgentState agent) {
        if (agent.hasReported() && formerAgents.size() < MAX_AGENTS) {
            formerAgents.add(new FormerAgent(agent.machine(), agent.heartbeat().endpoint()));
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
        formerAgents.removeIf(agent -> clusterState.machine(agent.machine()) == null);
        if (formerAgents.isEmpty()) {
            membership.requestUncordon();
        }
        for (FormerAgent agent : formerAgents) {
            calls.call(agent.endpoint(), "GET", "/status", null, TIMEOUT, reply -> recordReply(reply.ok()));
        }
    }

    private void recordReply(boolean ok) {
        consecutiveReplies = ok ? consecutiveReplies + 1 : 0;
        if (consecutiveReplies >= REPLIES_PER_AGENT * formerAgents.size()) {
            membership.requestUncordon();
        }
    }
}
