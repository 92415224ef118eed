package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Crashes a controller that owns about a third of 4000 machines. The other controllers must contact its agents within two
 * seconds, those with urgent tasks first, and no task may start twice.
 */
class LargeFleetFailoverTest {
    private static final String TEAM = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}";
    private static final String AGENTS = "{\"report_s\":4,\"lease_s\":26,\"cancel_s\":46}";
    private static final String STORE = "{\"rps\":500,\"write_rps\":250,\"value_kb\":8,\"txn_ops\":12}";
    private static final int MACHINES = 4000;
    private static final int URGENT_TASKS = 300;
    private static final double CRASH_SECOND = 70;

    @Test
    void agentsWithUrgentTasksAreContactedFirst() {
        ClusterSimulator simulator = new ClusterSimulator(18, SimulatorSettings.of(0, 3, TEAM, AGENTS, STORE));
        simulator.withStandby = true;
        simulator.store.pageSize = 500;
        for (int i = 0; i < 3; i++) {
            simulator.addController(SimulatorSettings.of(i, 3, TEAM, AGENTS, STORE));
        }
        for (int i = 0; i < MACHINES; i++) {
            String zone = List.of("a", "b", "c").get(i % 3);
            simulator.cloud.boot("small", zone, false, Duration.ofMillis(100 + simulator.random.nextInt(4000)));
        }
        simulator.at(40, () -> simulator.users.submit("j-1", "red", URGENT_TASKS, 4, 60, List.of("urgent")));
        simulator.runUntil(CRASH_SECOND);
        simulator.invariants.controllerCrashed("node-0");
        List<SimulatedAgent> agents = simulator.agents.values().stream()
                .filter(agent -> agent.reportsTo("node-0"))
                .toList();
        List<SimulatedAgent> urgentAgents =
                agents.stream().filter(agent -> !agent.tasks.isEmpty()).toList();
        assertTrue(agents.size() > MACHINES / 5, agents.size() + " machines");
        assertTrue(urgentAgents.size() > 10, urgentAgents.size() + " machines with urgent tasks");
        simulator.controllers.get("node-0").crash();

        simulator.runUntil(CRASH_SECOND + 2);
        simulator.invariants.checkTakeover();
        simulator.runUntil(180);

        assertEquals(List.of(), simulator.invariants.violations);
        assertEquals(URGENT_TASKS, simulator.invariants.starts, "a task was started more than once");
        assertTrue(simulator.users.jobs.get("j-1").reportedDoneAt != null);
        Stream<Instant> idleTimes = agents.stream()
                .filter(agent -> !urgentAgents.contains(agent))
                .map(agent -> agent.firstTokenAfter(CRASH_SECOND));
        Instant lastUrgentTime = urgentAgents.stream()
                .map(agent -> agent.firstTokenAfter(CRASH_SECOND))
                .max(Instant::compareTo)
                .orElseThrow();
        long idleFirst = idleTimes.filter(at -> at.isBefore(lastUrgentTime)).count();
        // Each new owner contacts its urgent agents in its first rounds, maybe after idle ones of the other owner.
        assertTrue(idleFirst < agents.size() / 4, idleFirst + " idle machines came before the last urgent one");
        simulator.behaviour.assertMatchesStored("grown/takeover");
    }
}
