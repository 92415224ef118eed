package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** A controller that owns a third of four thousand machines ends: its workers are told in rounds, urgent work first. */
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
            simulator.addNode(SimulatorSettings.of(i, 3, TEAM, AGENTS, STORE));
        }
        for (int i = 0; i < MACHINES; i++) {
            String zone = List.of("a", "b", "c").get(i % 3);
            simulator.cloud.boot("small", zone, false, Duration.ofMillis(100 + simulator.random.nextInt(4000)));
        }
        simulator.at(40, () -> simulator.users.submit("j-1", "red", URGENT_TASKS, 4, 60, List.of("urgent")));
        simulator.runUntil(CRASH_SECOND);
        simulator.rules.crashed("node-0");
        List<SimulatedAgent> orphanedAgents = simulator.workers.values().stream()
                .filter(agent -> agent.reportsTo("node-0"))
                .toList();
        List<SimulatedAgent> agentsWithUrgentTasks =
                orphanedAgents.stream().filter(agent -> !agent.tasks.isEmpty()).toList();
        assertTrue(orphanedAgents.size() > MACHINES / 5, orphanedAgents.size() + " machines");
        assertTrue(agentsWithUrgentTasks.size() > 10, agentsWithUrgentTasks.size() + " machines with urgent work");
        simulator.nodes.get("node-0").crash();

        simulator.runUntil(CRASH_SECOND + 2);
        simulator.rules.tokensRenewed();
        simulator.runUntil(180);

        assertEquals(List.of(), simulator.rules.broken);
        assertEquals(URGENT_TASKS, simulator.rules.starts, "nothing was started twice");
        assertTrue(simulator.users.jobs.get("j-1").doneTold != null);
        Stream<Instant> idleTokenTimes = orphanedAgents.stream()
                .filter(agent -> !agentsWithUrgentTasks.contains(agent))
                .map(agent -> agent.firstTokenAfter(CRASH_SECOND));
        Instant lastUrgentTokenTime = agentsWithUrgentTasks.stream()
                .map(agent -> agent.firstTokenAfter(CRASH_SECOND))
                .max(Instant::compareTo)
                .orElseThrow();
        long idleBeforeUrgent =
                idleTokenTimes.filter(at -> at.isBefore(lastUrgentTokenTime)).count();
        // Each of the two successors finishes its own urgent machines within its first rounds.
        assertTrue(
                idleBeforeUrgent < orphanedAgents.size() / 4,
                idleBeforeUrgent + " idle machines came before urgent work");
        simulator.behaviour.assertKept("grown/takeover");
    }
}
