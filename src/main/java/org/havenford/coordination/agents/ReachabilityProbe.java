package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.havenford.coordination.membership.Membership;
import org.havenford.storage.ClusterState;
import org.havenford.transport.HttpCalls;

/** While this controller rests, asks some of its former workers now and then whether it reaches them again. */
final class ReachabilityProbe {
    private static final int MAX_WORKERS = 3;
    private static final Duration PROBE_EVERY = Duration.ofSeconds(2);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    /** Answers in a row from each worker that show that it is reached. */
    private static final int ANSWERS_PER_WORKER = 2;

    private record FormerAgent(String machine, String endpoint) {}

    private final HttpCalls calls;
    private final ClusterState clusterState;
    private final Membership membership;
    private final String node;
    private final List<FormerAgent> workers = new ArrayList<>();
    private Instant nextProbe = Instant.MIN;
    private int answers;

    ReachabilityProbe(AgentContext context, HttpCalls calls) {
        this.calls = calls;
        this.clusterState = context.clusterState();
        this.membership = context.membership();
        this.node = context.node();
    }

    /** The view has changed; {@code wasResting} says whether this controller rested in the view before. */
    void viewChanged(boolean wasResting) {
        answers = 0;
        if (!wasResting || !isResting()) {
            workers.clear();
        }
    }

    private boolean isResting() {
        return membership.view().cordoned().contains(node);
    }

    /** A machine went to another owner. */
    void lost(AgentState machine) {
        if (machine.heartbeat != null && workers.size() < MAX_WORKERS) {
            workers.add(new FormerAgent(machine.name, machine.heartbeat.endpoint()));
        }
    }

    void step(Instant now) {
        if (!isResting() || now.isBefore(nextProbe)) {
            return;
        }
        nextProbe = now.plus(PROBE_EVERY);
        // A machine that is gone never answers; waiting for it, a controller rested for good.
        // rests-while-machines-go.trace
        workers.removeIf(w -> clusterState.machine(w.machine()) == null);
        if (workers.isEmpty()) {
            membership.requestUncordon();
        }
        for (FormerAgent worker : workers) {
            calls.call(worker.endpoint(), "GET", "/status", null, TIMEOUT, reply -> answered(reply.ok()));
        }
    }

    private void answered(boolean ok) {
        answers = ok ? answers + 1 : 0;
        if (answers >= ANSWERS_PER_WORKER * workers.size()) {
            membership.requestUncordon();
        }
    }
}
