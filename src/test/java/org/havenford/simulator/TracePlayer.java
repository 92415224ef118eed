package org.havenford.simulator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.havenford.settings.PlatformSettings;

/** Runs a trace in a {@link ClusterSimulator}. The trace language is described in src/test/resources/traces/README.md. */
final class TracePlayer {
    private static final Duration BOOT_TIME = Duration.ofMillis(100);

    /** The result of a finished run: its simulator, and a line for each violated invariant and expectation. */
    record Result(ClusterSimulator world, List<String> violations) {
        /** Returns the log of the run as one text. */
        String log() {
            return String.join("\n", world.log);
        }
    }

    private TracePlayer() {}

    /** Parses the lines of a trace and runs it to its end. */
    static Result play(List<String> lines) {
        TraceScenario scenario = TraceScenario.parse(lines);
        ClusterSimulator world = cluster(scenario);
        schedule(scenario, world);
        world.rules.troublesOver = scenario.lastTrouble();
        world.rules.checkWaits = true;
        world.runUntil(scenario.end());
        return new Result(world, violations(scenario, world));
    }

    private static ClusterSimulator cluster(TraceScenario scenario) {
        ClusterSimulator world = new ClusterSimulator(scenario.seed(), settings(scenario, 0, scenario.store()));
        world.store.watches.keptChanges = scenario.keptChanges;
        world.withStandby = scenario.standby;
        world.withoutStandby.addAll(scenario.withoutStandby);
        if (scenario.machinesPerOffer > 0) {
            world.cloud.perOffer = scenario.machinesPerOffer;
        }
        for (int node = 0; node < scenario.nodes(); node++) {
            PlatformSettings before = scenario.startsWithPreviousFormat()
                    ? settings(scenario, node, SimulatorSettings.DEFAULT_STORE)
                    : null;
            world.addNode(settings(scenario, node, scenario.store()), before);
        }
        return world;
    }

    private static PlatformSettings settings(TraceScenario scenario, int node, String store) {
        return SimulatorSettings.of(node, scenario.nodes(), scenario.teams(), SimulatorSettings.DEFAULT_AGENTS, store);
    }

    private static void schedule(TraceScenario scenario, ClusterSimulator world) {
        for (TraceScenario.Step step : scenario.steps()) {
            if (step instanceof TraceScenario.Machine machine) {
                world.cloud.boot(machine.type(), machine.zone(), machine.spot(), BOOT_TIME);
            } else if (step instanceof TraceScenario.TimedCommand command) {
                world.at(command.second(), () -> TraceCommands.run(world, command.name(), command.arguments()));
            }
        }
    }

    private static List<String> violations(TraceScenario scenario, ClusterSimulator world) {
        if (scenario.expectations().stream().anyMatch(TraceExpectations::isThatAllAreServed)) {
            world.rules.endOfDay();
        }
        List<String> violations = new ArrayList<>(world.rules.broken);
        for (TraceScenario.Expectation expectation : scenario.expectations()) {
            TraceExpectations.violation(world, expectation).ifPresent(violations::add);
        }
        return violations;
    }
}
