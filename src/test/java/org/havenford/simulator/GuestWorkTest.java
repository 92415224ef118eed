package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.havenford.settings.PlatformSettings;
import org.junit.jupiter.api.Test;

/** A guest team without a guarantee sends one huge job and hundreds of jobs of one task, beside urgent work of others. */
class GuestWorkTest {
    private static final int NODES = 3;
    private static final int MACHINES = 120;
    private static final int SINGLE_TASKS = 400;
    private static final int SINGLE_TASKS_A_SECOND = 25;
    private static final int TASKS_OF_HUGE_JOB = 6000;
    private static final String TEAMS =
            "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0},{\"name\":\"guest\",\"cpus\":0,\"cpus_max\":0}";

    private static PlatformSettings settings(int node) {
        return SimulatorSettings.of(
                node,
                NODES,
                TEAMS,
                "{\"report_s\":4,\"lease_s\":26,\"cancel_s\":46}",
                "{\"rps\":250,\"write_rps\":60,\"value_kb\":8,\"txn_ops\":12}");
    }

    private static ClusterSimulator world() {
        ClusterSimulator world = new ClusterSimulator(21, settings(0));
        for (int i = 0; i < NODES; i++) {
            world.addNode(settings(i));
        }
        world.store.pageSize = 500;
        for (int i = 0; i < MACHINES; i++) {
            world.cloud.boot("large", List.of("a", "b", "c").get(i % 3), false, Duration.ofMillis(100 + 20 * i));
        }
        return world;
    }

    private static double waitSeconds(SimulatedUsers.Job job) {
        return Duration.between(job.submitted, job.begun).toMillis() / 1e3;
    }

    /** Urgent work begins as it would alone, and all that the guest sends is accepted and done. */
    @Test
    void urgentWorkDoesNotWaitForGuests() {
        ClusterSimulator world = world();
        List<String> urgent = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            String id = "j-" + (100 + i);
            urgent.add(id);
            world.at(20 + i, () -> world.users.submit(id, "red", 12, 4, 15, List.of("urgent", "class=flash")));
        }
        world.at(30, () -> world.users.submit("j-1", "guest", TASKS_OF_HUGE_JOB, 1, 6, List.of("low", "class=scan")));
        for (int i = 0; i < SINGLE_TASKS; i++) {
            String id = "j-" + (1000 + i);
            double at = 40 + i / (double) SINGLE_TASKS_A_SECOND;
            world.at(at, () -> world.users.submit(id, "guest", 1, 0.25, 20, List.of("low", "class=dust")));
        }
        world.runUntil(200);
        List<Double> waits = urgent.stream()
                .map(id -> waitSeconds(world.users.jobs.get(id)))
                .sorted()
                .toList();
        world.runUntil(420);
        String counts = "urgent waits p50 " + waits.get(50) + " p90 " + waits.get(90) + " max " + waits.get(99)
                + ", changes " + world.store.changesOf + ", conflicts " + world.store.conflictsOf + ", requests "
                + world.store.requests + ", refused " + world.store.refused;
        System.out.println(counts);
        assertEquals(List.of(), world.rules.broken);
        assertTrue(waits.get(90) < 4, counts);
        assertTrue(waits.get(99) < 10, counts);
        assertTrue(world.users.jobs.values().stream().allMatch(job -> job.doneTold != null), counts);
        world.behaviour.assertKept("guest-work");
    }
}
