package org.havenford.simulator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.havenford.settings.PlatformSettings;

/** Runs a trace in a {@link ClusterSimulator}. The trace language is described in src/test/resources/traces/README.md. */
final class TracePlayer {
    private static final Duration BOOT_TIME = Duration.ofMillis(100);

    /** The result of a finished run: its simulator, and a line for each violated invariant and expectation. */
    record Result(ClusterSimulator simulator, List<String> violations) {
        /** Returns the log of the run as one text. */
        String log() {
            return String.join("\n", simulator.log);
        }
    }

    private TracePlayer() {}

    /** Parses the lines of a trace and runs it to its end. */
    static Result play(List<String> lines) {
        TraceScenario scenario = TraceScenario.parse(lines);
        ClusterSimulator simulator = createCluster(scenario);
        scheduleSteps(scenario, simulator);
        simulator.invariants.faultsEndAt = scenario.lastFault();
        simulator.invariants.checksWaitingJobs = true;
        simulator.runUntil(scenario.end());
        return new Result(simulator, violations(scenario, simulator));
    }

    private static ClusterSimulator createCluster(TraceScenario scenario) {
        ClusterSimulator simulator = new ClusterSimulator(scenario.seed(), settings(scenario, 0, scenario.store()));
        simulator.store.watches.maxChanges = scenario.keptChanges;
        simulator.withStandby = scenario.standby;
        simulator.withoutStandby.addAll(scenario.withoutStandby);
        if (scenario.machinesPerOffer > 0) {
            simulator.cloud.maxMachinesPerOffer = scenario.machinesPerOffer;
        }
        for (int node = 0; node < scenario.nodes(); node++) {
            PlatformSettings previousSettings = scenario.startsWithPreviousFormat()
                    ? settings(scenario, node, SimulatorSettings.DEFAULT_STORE)
                    : null;
            simulator.addController(settings(scenario, node, scenario.store()), previousSettings);
        }
        return simulator;
    }

    private static PlatformSettings settings(TraceScenario scenario, int node, String store) {
        return SimulatorSettings.of(node, scenario.nodes(), scenario.teams(), scenario.agents(), store);
    }

    private static void scheduleSteps(TraceScenario scenario, ClusterSimulator simulator) {
        for (TraceScenario.Step step : scenario.steps()) {
            if (step instanceof TraceScenario.Machine machine) {
                simulator.cloud.boot(machine.type(), machine.zone(), machine.spot(), BOOT_TIME);
            } else if (step instanceof TraceScenario.TimedCommand command) {
                simulator.at(command.second(), () -> TraceCommands.run(simulator, command.name(), command.arguments()));
            }
        }
    }

    private static List<String> violations(TraceScenario scenario, ClusterSimulator simulator) {
        if (scenario.expectations().stream().anyMatch(TraceExpectations::requiresNoStarvation)) {
            simulator.invariants.checkFairness();
        }
        List<String> violations = new ArrayList<>(simulator.invariants.violations);
        for (TraceScenario.Expectation expectation : scenario.expectations()) {
            TraceExpectations.violation(simulator, expectation).ifPresent(violations::add);
        }
        return violations;
    }
}
