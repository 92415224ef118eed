package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.havenford.settings.PlatformSettings;
import org.junit.jupiter.api.Test;

/**
 * Tests properties that show only with many machines or jobs: the load on the state service, and that no kind of work
 * starves.
 */
class LargeFleetTest {
    private static final int NODES = 7;
    private static final String TEAMS =
            "{\"name\":\"red\",\"cpus\":1000,\"cpus_max\":4000}," + "{\"name\":\"blue\",\"cpus\":400,\"cpus_max\":900}";

    private static final String UNLIMITED_TEAM = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}";
    private static final String LARGE_STORE = "{\"rps\":500,\"write_rps\":250,\"value_kb\":8,\"txn_ops\":12}";
    private static final int FIRST_JOB_SECOND = 40;

    private static PlatformSettings settings(int node) {
        return SimulatorSettings.of(
                node,
                NODES,
                TEAMS,
                "{\"report_s\":6,\"lease_s\":36,\"cancel_s\":66}",
                "{\"rps\":150,\"write_rps\":50,\"value_kb\":16,\"txn_ops\":12}");
    }

    /** Runs seven controllers and 1000 machines with a state service that admits 150 requests and 50 writes per second. */
    @Test
    void thousandMachinesStayWithinTheStoreLimits() {
        ClusterSimulator simulator = new ClusterSimulator(11, settings(0));
        for (int i = 0; i < NODES; i++) {
            simulator.addController(settings(i));
        }
        assertAllDoneWithinStoreBudget(simulator, new Workload(1000, 90, 5, 40, List.of("red", "red", "blue")));
        simulator.behaviour.assertMatchesStored("grown/a-thousand-machines");
    }

    /**
     * Runs 1850 machines in four zones, half as many again as the largest deployment with seven controllers. The number of
     * requests and writes per task stays within the same bounds as with 1000 machines.
     */
    @Test
    void storeLoadPerTaskStaysBoundedOnEighteenHundredMachines() {
        ClusterSimulator simulator = new ClusterSimulator(14, settings(0));
        simulator.cloud.zones = List.of("a", "b", "c", "d");
        for (int i = 0; i < NODES; i++) {
            simulator.addController(settings(i));
        }
        assertAllDoneWithinStoreBudget(simulator, new Workload(1850, 90, 5, 50, List.of("red", "red", "blue")));
        simulator.behaviour.assertMatchesStored("grown/eighteen-hundred-machines");
    }

    /** Runs 1600 machines on three controllers, with higher limits of the state service and an unlimited team. */
    @Test
    void sixteenHundredMachinesOnThreeControllersStayWithinTheStoreLimits() {
        String agents = "{\"report_s\":4,\"lease_s\":26,\"cancel_s\":46}";
        String store = "{\"rps\":300,\"write_rps\":120,\"value_kb\":8,\"txn_ops\":12}";
        ClusterSimulator simulator =
                new ClusterSimulator(15, SimulatorSettings.of(0, 3, UNLIMITED_TEAM, agents, store));
        simulator.cloud.zones = List.of("a", "b", "c", "d");
        for (int i = 0; i < 3; i++) {
            simulator.addController(SimulatorSettings.of(i, 3, UNLIMITED_TEAM, agents, store));
        }
        assertAllDoneWithinStoreBudget(simulator, new Workload(1600, 90, 20, 60, List.of("red")));
        simulator.behaviour.assertMatchesStored("grown/sixteen-hundred-machines");
    }

    /**
     * The machine list of the cloud has more pages than the number of calls that may be in flight at once. It is still
     * read to its end: a terminated machine is removed sooner than by its missing heartbeats alone.
     */
    @Test
    void longMachineListIsReadToItsEnd() {
        String agents = "{\"report_s\":4,\"lease_s\":60,\"cancel_s\":90}";
        ClusterSimulator simulator =
                new ClusterSimulator(17, SimulatorSettings.of(0, 1, UNLIMITED_TEAM, agents, LARGE_STORE));
        simulator.addController(SimulatorSettings.of(0, 1, UNLIMITED_TEAM, agents, LARGE_STORE));
        for (int i = 0; i < 4000; i++) {
            simulator.cloud.boot("small", List.of("a", "b", "c").get(i % 3), false, Duration.ofMillis(100 + i));
        }
        simulator.runUntil(30);
        simulator.cloud.terminate("host-003333");
        simulator.runUntil(75);
        assertTrue(
                !simulator.store.anyValueContains("live/machine/", "host-003333"),
                "the record of the terminated machine is deleted");
        simulator.behaviour.assertMatchesStored("grown/long-list");
    }

    /** Runs the largest deployment with three controllers, 4000 machines, under normal and urgent jobs. */
    @Test
    void fourThousandMachinesOnThreeControllersStayWithinTheStoreLimits() {
        String agents = "{\"report_s\":4,\"lease_s\":26,\"cancel_s\":46}";
        ClusterSimulator simulator =
                new ClusterSimulator(16, SimulatorSettings.of(0, 3, UNLIMITED_TEAM, agents, LARGE_STORE));
        for (int i = 0; i < 3; i++) {
            simulator.addController(SimulatorSettings.of(i, 3, UNLIMITED_TEAM, agents, LARGE_STORE));
        }
        assertAllDoneWithinStoreBudget(simulator, new Workload(4000, 60, 40, 120, List.of("red")));
        simulator.behaviour.assertMatchesStored("grown/four-thousand-machines");
    }

    /**
     * The workload of a run: machines that boot at the start, and one job per second, submitted by the teams in turn,
     * with at least {@code minTasks} and fewer than {@code minTasks + taskRange} tasks.
     */
    private record Workload(int machines, int jobs, int minTasks, int taskRange, List<String> teams) {}

    /** Counts of requests, writes, conflicts and rejected requests at the state service. */
    private record StoreCounts(int requests, int taskWrites, int conflicts, int refused) {
        static StoreCounts of(ClusterSimulator simulator) {
            return new StoreCounts(
                    simulator.store.requests,
                    countTaskWrites(simulator),
                    simulator.store.conflicts,
                    simulator.store.refused);
        }

        StoreCounts since(StoreCounts before) {
            return new StoreCounts(
                    requests - before.requests,
                    taskWrites - before.taskWrites,
                    conflicts - before.conflicts,
                    refused - before.refused);
        }
    }

    /**
     * Runs the workload and asserts that all jobs are done, that each task started once, and that the store load per task
     * is bounded.
     */
    private static void assertAllDoneWithinStoreBudget(ClusterSimulator simulator, Workload workload) {
        simulator.store.pageSize = 500;
        boot(simulator, workload.machines());
        simulator.runUntil(FIRST_JOB_SECOND);
        StoreCounts before = StoreCounts.of(simulator);
        int tasks = submit(simulator, workload);
        simulator.runUntil(100 + workload.jobs());
        assertEquals(List.of(), simulator.invariants.violations);
        assertAllDone(simulator);
        assertEquals(tasks, simulator.invariants.starts, () -> String.join("\n", simulator.log));
        assertWithinBudget(simulator, tasks, StoreCounts.of(simulator).since(before));
    }

    private static void boot(ClusterSimulator simulator, int machines) {
        List<String> zones = simulator.cloud.zones;
        for (int i = 0; i < machines; i++) {
            simulator.cloud.boot(
                    i % 3 == 0 ? "large" : "small",
                    zones.get(i % zones.size()),
                    i % 2 == 0,
                    Duration.ofMillis(100 + simulator.random.nextInt(5000)));
        }
    }

    /** Schedules the submissions and returns the total number of tasks. */
    private static int submit(ClusterSimulator simulator, Workload workload) {
        int tasks = 0;
        // Uses a separate random generator. With the one that also draws message delays, each additional or omitted
        // call would change the job sizes, at times to more work than the limits of the teams allow.
        SplittableRandom sizes = new SplittableRandom(workload.jobs());
        for (int i = 0; i < workload.jobs(); i++) {
            int size = workload.minTasks() + sizes.nextInt(workload.taskRange());
            tasks += size;
            String id = "j-" + (1000 + i);
            String team = workload.teams().get(i % workload.teams().size());
            List<String> options = i % 4 == 0 ? List.of() : List.of("urgent");
            simulator.at(FIRST_JOB_SECOND + i, () -> simulator.users.submit(id, team, size, 4, 20, options));
        }
        return tasks;
    }

    private static void assertAllDone(ClusterSimulator simulator) {
        assertEquals(
                List.of(),
                simulator.users.jobs.values().stream()
                        .filter(job -> job.reportedDoneAt == null)
                        .map(job -> job.id + " with " + job.tasks + " tasks of team " + job.team + ", started "
                                + job.firstStartedAt)
                        .toList(),
                () -> simulator.store.changesByKeyCategory + " " + simulator.store.conflictsByKeyCategory);
    }

    private static void assertWithinBudget(ClusterSimulator simulator, int tasks, StoreCounts counts) {
        double longestWait = longestWaitSeconds(simulator);
        String summary = "tasks " + tasks + ", longest wait " + longestWait + " s, " + counts + "; writes "
                + simulator.store.changesByKeyCategory + ", conflicts " + simulator.store.conflictsByKeyCategory;
        assertTrue(counts.taskWrites < 1.6 * tasks, summary);
        assertTrue(counts.requests < 5 * tasks, summary);
        assertTrue(counts.conflicts < 0.1 * tasks, summary);
        assertTrue(counts.refused < 0.02 * counts.requests, summary);
        assertTrue(longestWait < 10, summary);
    }

    /** Returns the longest time in seconds from the submission of a job to the start of its first task. */
    private static double longestWaitSeconds(ClusterSimulator simulator) {
        return simulator.users.jobs.values().stream()
                        .mapToLong(job -> Duration.between(job.submittedAt, job.firstStartedAt)
                                .toMillis())
                        .max()
                        .orElse(0)
                / 1e3;
    }

    /**
     * Returns the number of writes except those of machine records, whose number depends on launched and returned
     * instances.
     */
    private static int countTaskWrites(ClusterSimulator simulator) {
        return simulator.store.changesByKeyCategory.entrySet().stream()
                .filter(entry -> !entry.getKey().contains("live/machine"))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** With less than a tenth of the default request and write rates, the state service is slow, but all jobs complete. */
    @Test
    void allJobsCompleteWithLowStoreLimits() {
        String team = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":24}";
        String agents = "{\"report_s\":5,\"lease_s\":30,\"cancel_s\":60}";
        String store = "{\"rps\":25,\"write_rps\":10,\"value_kb\":8,\"txn_ops\":12}";
        ClusterSimulator simulator = new ClusterSimulator(13, SimulatorSettings.of(0, NODES, team, agents, store));
        for (int i = 0; i < NODES; i++) {
            simulator.addController(SimulatorSettings.of(i, NODES, team, agents, store));
        }
        for (String zone : List.of("a", "b", "c")) {
            simulator.cloud.boot("large", zone, false, Duration.ofMillis(100));
        }
        for (int i = 0; i < 10; i++) {
            String id = "j-" + (1000 + i);
            simulator.at(10 + 5 * i, () -> simulator.users.submit(id, "red", 6, 4, 8, List.of()));
        }
        simulator.runUntil(300);
        assertEquals(List.of(), simulator.invariants.violations);
        assertTrue(
                simulator.users.jobs.values().stream().allMatch(job -> job.reportedDoneAt != null),
                () -> "not all jobs are done: " + simulator.store.requests + " " + simulator.store.refused + " "
                        + simulator.store.changesByKeyCategory + " "
                        + simulator.users.jobs.values().stream()
                                .map(job -> job.id + job.accepted + job.firstStartedAt + job.reportedDoneAt)
                                .toList());
        simulator.behaviour.assertMatchesStored("grown/tenth-of-the-limits");
    }

    /**
     * While urgent jobs request more capacity than there is, other jobs still run, and the largest of them start within four
     * minutes.
     */
    @Test
    void noKindOfWorkStarvesDuringABurstOfUrgentJobs() {
        ClusterSimulator simulator = new ClusterSimulator(12, SimulatorSettings.of(0, UNLIMITED_TEAM));
        for (int i = 0; i < 3; i++) {
            simulator.addController(SimulatorSettings.of(i, UNLIMITED_TEAM));
        }
        for (String zone : List.of("a", "b", "c")) {
            simulator.cloud.boot("large", zone, false, Duration.ofMillis(100));
        }
        simulator.at(5, () -> simulator.cloud.outage = true);
        for (int i = 0; i < 150; i++) {
            String id = "j-" + (1000 + i);
            simulator.at(6 + 2 * i, () -> simulator.users.submit(id, "red", 6, 4, 8, List.of("urgent", "class=flash")));
        }
        for (int i = 0; i < 8; i++) {
            String id = "j-" + (2000 + i);
            int size = i == 1 ? 24 : 4;
            simulator.at(10 + 20 * i, () -> simulator.users.submit(id, "red", size, 4, 15, List.of("class=cut")));
        }
        simulator.runUntil(320);
        assertEquals(List.of(), simulator.invariants.violations);
        assertTrue(
                simulator.users.jobs.get("j-2001").firstStartedAt != null, "the largest job starts during the burst");
        simulator.runUntil(900);
        simulator.invariants.checkFairness();
        assertEquals(List.of(), simulator.invariants.violations);
        simulator.behaviour.assertMatchesStored("grown/burst");
    }
}
