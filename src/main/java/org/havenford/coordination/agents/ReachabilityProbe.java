package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.havenford.coordination.membership.Membership;
import org.havenford.storage.ClusterState;
import org.havenford.transport.HttpCalls;

/** While this controller is cordoned, probes some of its former agents periodically, to see whether it reaches them again. */
final class ReachabilityProbe {
    private static final int MAX_AGENTS = 3;
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(2);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    /** Replies in a row, for each agent, that show that the agents are reached. */
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

    /** The view has changed; {@code wasCordoned} says whether this controller was cordoned in the view before. */
    void viewChanged(boolean wasCordoned) {
        repliesInRow = 0;
        if (!wasCordoned || !isCordoned()) {
            agents.clear();
        }
    }

    private boolean isCordoned() {
        return membership.view().cordoned().contains(node);
    }

    /** A machine went to another owner. */
    void lost(AgentState agent) {
        if (agent.hasReported() && agents.size() < MAX_AGENTS) {
            agents.add(new FormerAgent(agent.machine(), agent.heartbeat().endpoint()));
        }
    }

    /** Probes the former agents if that is due; requests the uncordoning if none is left. */
    void step(Instant now) {
        if (!isCordoned() || (nextProbe != null && now.isBefore(nextProbe))) {
            return;
        }
        nextProbe = now.plus(PROBE_INTERVAL);
        // A machine that is gone never replies; waiting for it, a controller stayed cordoned for good.
        // rests-while-machines-go.trace
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
