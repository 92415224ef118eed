package org.havenford.simulator;

import java.util.ArrayList;
import java.util.List;

/** The agents of a controller that ended turn to owners of the view in force. */
final class TakeoverInvariant {
    private static final String RULE = "not taken over";
    /** The epoch of the view stands in a token's upper half. */
    private static final int EPOCH_SHIFT = 32;

    private final ClusterSimulator simulator;
    private final InvariantChecker checker;
    private final List<SimulatedAgent> orphanedAgents = new ArrayList<>();

    TakeoverInvariant(ClusterSimulator simulator, InvariantChecker checker) {
        this.simulator = simulator;
        this.checker = checker;
    }

    /** Remembers the agents that report to a controller as it ends, in place of those of the controller before. */
    void controllerEnded(String node) {
        orphanedAgents.clear();
        simulator.workers.values().stream()
                .filter(agent -> agent.reportsTo(node))
                .forEach(orphanedAgents::add);
    }

    /** Checks that each agent of the controller that ended last has seen a token of the view in force. */
    void check() {
        long epoch = simulator
                .store
                .value("live/view")
                .getAsJsonObject()
                .get("epoch")
                .getAsLong();
        if (orphanedAgents.isEmpty()) {
            checker.broken(RULE, "no worker reported to the controller that ended");
        }
        for (SimulatedAgent agent : orphanedAgents) {
            if (agent.up() && !agent.hung && agent.token >> EPOCH_SHIFT < epoch) {
                checker.broken(RULE, agent.name + " has seen no token of epoch " + epoch);
            }
        }
    }
}
