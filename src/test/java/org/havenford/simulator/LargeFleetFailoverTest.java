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
    private static final double CRASH_AT = 70;

    @Test
    void fourThousandMachinesAreTakenOverInRoundsUrgentWorkFirst() {
        ClusterSimulator world = new ClusterSimulator(18, SimulatorSettings.of(0, 3, TEAM, AGENTS, STORE));
        world.withStandby = true;
        world.store.pageSize = 500;
        for (int i = 0; i < 3; i++) {
            world.addNode(SimulatorSettings.of(i, 3, TEAM, AGENTS, STORE));
        }
        for (int i = 0; i < MACHINES; i++) {
            String zone = List.of("a", "b", "c").get(i % 3);
            world.cloud.boot("small", zone, false, Duration.ofMillis(100 + world.random.nextInt(4000)));
        }
        world.at(40, () -> world.users.submit("j-1", "red", URGENT_TASKS, 4, 60, List.of("urgent")));
        world.runUntil(CRASH_AT);
        world.rules.crashed("node-0");
        List<SimulatedAgent> orphaned = world.workers.values().stream()
                .filter(agent -> agent.reportsTo("node-0"))
                .toList();
        List<SimulatedAgent> urgent =
                orphaned.stream().filter(w -> !w.tasks.isEmpty()).toList();
        assertTrue(orphaned.size() > MACHINES / 5, orphaned.size() + " machines");
        assertTrue(urgent.size() > 10, urgent.size() + " machines with urgent work");
        world.nodes.get("node-0").crash();

        world.runUntil(CRASH_AT + 2);
        world.rules.tokensRenewed();
        world.runUntil(180);

        assertEquals(List.of(), world.rules.broken);
        assertEquals(URGENT_TASKS, world.rules.starts, "nothing was started twice");
        assertTrue(world.users.jobs.get("j-1").doneTold != null);
        Stream<Instant> ofIdle = orphaned.stream()
                .filter(agent -> !urgent.contains(agent))
                .map(agent -> agent.firstTokenAfter(CRASH_AT));
        Instant lastUrgent = urgent.stream()
                .map(agent -> agent.firstTokenAfter(CRASH_AT))
                .max(Instant::compareTo)
                .orElseThrow();
        long beforeUrgent = ofIdle.filter(at -> at.isBefore(lastUrgent)).count();
        // Each of the two successors finishes its own urgent machines within its first rounds.
        assertTrue(beforeUrgent < orphaned.size() / 4, beforeUrgent + " idle machines came before urgent work");
        world.behaviour.assertKept("grown/takeover");
    }
}
