package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.havenford.settings.PlatformSettings;
import org.junit.jupiter.api.Test;

/**
 * One team submits a huge job and hundreds of single-task jobs of low priority while another team submits urgent jobs.
 * Neither team has a guaranteed share or a limit. Guards against urgent jobs being delayed, and against low-priority jobs
 * being lost or starved.
 */
class GuestWorkTest {
    private static final int NODES = 3;
    private static final int MACHINES = 120;
    private static final int SINGLE_TASK_JOBS = 400;
    private static final int SINGLE_TASK_JOBS_PER_SECOND = 25;
    private static final int LARGE_JOB_TASKS = 6000;
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

    private static ClusterSimulator startCluster() {
        ClusterSimulator simulator = new ClusterSimulator(21, settings(0));
        for (int i = 0; i < NODES; i++) {
            simulator.addController(settings(i));
        }
        simulator.store.pageSize = 500;
        for (int i = 0; i < MACHINES; i++) {
            simulator.cloud.boot("large", List.of("a", "b", "c").get(i % 3), false, Duration.ofMillis(100 + 20 * i));
        }
        return simulator;
    }

    private static double startDelaySeconds(SimulatedUsers.Job job) {
        return Duration.between(job.submittedAt, job.firstStartedAt).toMillis() / 1e3;
    }

    /** Checks that urgent jobs start within seconds and that all jobs of both teams are done in the end. */
    @Test
    void urgentJobsDoNotWaitForLowPriorityTeam() {
        ClusterSimulator simulator = startCluster();
        List<String> urgentJobs = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            String id = "j-" + (100 + i);
            urgentJobs.add(id);
            simulator.at(20 + i, () -> simulator.users.submit(id, "red", 12, 4, 15, List.of("urgent", "class=flash")));
        }
        simulator.at(
                30, () -> simulator.users.submit("j-1", "guest", LARGE_JOB_TASKS, 1, 6, List.of("low", "class=scan")));
        for (int i = 0; i < SINGLE_TASK_JOBS; i++) {
            String id = "j-" + (1000 + i);
            double at = 40 + i / (double) SINGLE_TASK_JOBS_PER_SECOND;
            simulator.at(at, () -> simulator.users.submit(id, "guest", 1, 0.25, 20, List.of("low", "class=dust")));
        }
        simulator.runUntil(200);
        List<Double> waits = urgentJobs.stream()
                .map(id -> startDelaySeconds(simulator.users.jobs.get(id)))
                .sorted()
                .toList();
        simulator.runUntil(420);
        String counts = "urgent waits p50 " + waits.get(50) + " p90 " + waits.get(90) + " max " + waits.get(99)
                + ", changes " + simulator.store.changesByKeyCategory + ", conflicts "
                + simulator.store.conflictsByKeyCategory
                + ", requests "
                + simulator.store.requests + ", refused " + simulator.store.refused;
        System.out.println(counts);
        assertEquals(List.of(), simulator.invariants.violations);
        assertTrue(waits.get(90) < 4, counts);
        assertTrue(waits.get(99) < 10, counts);
        assertTrue(simulator.users.jobs.values().stream().allMatch(job -> job.reportedDoneAt != null), counts);
        simulator.behaviour.assertMatchesStored("guest-work");
    }
}
