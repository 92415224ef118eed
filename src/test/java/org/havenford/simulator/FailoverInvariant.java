package org.havenford.simulator;

import java.util.ArrayList;
import java.util.List;

/** Checks that the agents of a crashed controller have received a fencing token of the current view from a new owner. */
final class FailoverInvariant {
    private static final String RULE = "not taken over";
    /** The upper 32 bits of a fencing token hold the epoch of the view. */
    private static final int EPOCH_SHIFT = 32;

    private final ClusterSimulator simulator;
    private final InvariantChecker checker;
    private final List<SimulatedAgent> orphanedAgents = new ArrayList<>();

    FailoverInvariant(ClusterSimulator simulator, InvariantChecker checker) {
        this.simulator = simulator;
        this.checker = checker;
    }

    /** Records the agents that report to a controller as it crashes, and drops those recorded for an earlier crash. */
    void controllerEnded(String node) {
        orphanedAgents.clear();
        simulator.agents.values().stream()
                .filter(agent -> agent.reportsTo(node))
                .forEach(orphanedAgents::add);
    }

    /** Checks that each responsive agent of the controller that crashed last has received a token of the current view. */
    void check() {
        long epoch = simulator
                .store
                .value("live/view")
                .getAsJsonObject()
                .get("epoch")
                .getAsLong();
        if (orphanedAgents.isEmpty()) {
            checker.recordViolation(RULE, "no agent reported to the controller that crashed");
        }
        for (SimulatedAgent agent : orphanedAgents) {
            if (agent.up() && !agent.hung && agent.fencingToken >> EPOCH_SHIFT < epoch) {
                checker.recordViolation(RULE, agent.name + " has received no token of epoch " + epoch);
            }
        }
    }
}
