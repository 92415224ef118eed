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
    void aThousandMachinesWithinTheLimitsOfTheService() {
        ClusterSimulator world = new ClusterSimulator(11, settings(0));
        for (int i = 0; i < NODES; i++) {
            world.addNode(settings(i));
        }
        assertCheapAndDone(world, new Workload(1000, 90, 5, 40, List.of("red", "red", "blue")));
        world.behaviour.assertKept("grown/a-thousand-machines");
    }

    /**
     * Runs 1850 machines in four zones, half as many again as the largest deployment with seven controllers. The number of
     * requests and writes per task stays within the same bounds as with 1000 machines.
     */
    @Test
    void aTaskCostsNoMoreOnEighteenHundredMachinesOfSevenControllers() {
        ClusterSimulator world = new ClusterSimulator(14, settings(0));
        world.cloud.zones = List.of("a", "b", "c", "d");
        for (int i = 0; i < NODES; i++) {
            world.addNode(settings(i));
        }
        assertCheapAndDone(world, new Workload(1850, 90, 5, 50, List.of("red", "red", "blue")));
        world.behaviour.assertKept("grown/eighteen-hundred-machines");
    }

    /** Runs 1600 machines on three controllers, with higher limits of the state service and an unlimited team. */
    @Test
    void sixteenHundredMachinesOfThreeControllersWithinTheLimitsOfTheService() {
        String agents = "{\"report_s\":4,\"lease_s\":26,\"cancel_s\":46}";
        String store = "{\"rps\":300,\"write_rps\":120,\"value_kb\":8,\"txn_ops\":12}";
        ClusterSimulator world = new ClusterSimulator(15, SimulatorSettings.of(0, 3, UNLIMITED_TEAM, agents, store));
        world.cloud.zones = List.of("a", "b", "c", "d");
        for (int i = 0; i < 3; i++) {
            world.addNode(SimulatorSettings.of(i, 3, UNLIMITED_TEAM, agents, store));
        }
        assertCheapAndDone(world, new Workload(1600, 90, 20, 60, List.of("red")));
        world.behaviour.assertKept("grown/sixteen-hundred-machines");
    }

    /**
     * The machine list of the cloud has more pages than the number of calls that may be in flight at once. It is still read to
     * its end: a terminated machine is removed sooner than by its missing heartbeats alone.
     */
    @Test
    void aLongListOfMachinesIsReadToItsEnd() {
        String agents = "{\"report_s\":4,\"lease_s\":60,\"cancel_s\":90}";
        ClusterSimulator world =
                new ClusterSimulator(17, SimulatorSettings.of(0, 1, UNLIMITED_TEAM, agents, LARGE_STORE));
        world.addNode(SimulatorSettings.of(0, 1, UNLIMITED_TEAM, agents, LARGE_STORE));
        for (int i = 0; i < 4000; i++) {
            world.cloud.boot("small", List.of("a", "b", "c").get(i % 3), false, Duration.ofMillis(100 + i));
        }
        world.runUntil(30);
        world.cloud.terminate("host-003333");
        world.runUntil(75);
        assertTrue(
                !world.store.holds("live/machine/", "host-003333"), "the record of the terminated machine is deleted");
        world.behaviour.assertKept("grown/long-list");
    }

    /** Runs the largest deployment with three controllers, 4000 machines, under normal and urgent jobs. */
    @Test
    void fourThousandMachinesOfThreeControllersWithinTheLimitsOfTheService() {
        String agents = "{\"report_s\":4,\"lease_s\":26,\"cancel_s\":46}";
        ClusterSimulator world =
                new ClusterSimulator(16, SimulatorSettings.of(0, 3, UNLIMITED_TEAM, agents, LARGE_STORE));
        for (int i = 0; i < 3; i++) {
            world.addNode(SimulatorSettings.of(i, 3, UNLIMITED_TEAM, agents, LARGE_STORE));
        }
        assertCheapAndDone(world, new Workload(4000, 60, 40, 120, List.of("red")));
        world.behaviour.assertKept("grown/four-thousand-machines");
    }

    /**
     * The workload of a run: machines that boot at the start, and one job per second, submitted by the teams in turn, with at
     * least {@code leastTasks} and fewer than {@code leastTasks + moreTasks} tasks.
     */
    private record Workload(int machines, int jobs, int leastTasks, int moreTasks, List<String> teams) {}

    /** Counts of requests, writes, conflicts and rejected requests at the state service. */
    private record StoreCounts(int requests, int taskChanges, int conflicts, int refused) {
        static StoreCounts of(ClusterSimulator world) {
            return new StoreCounts(
                    world.store.requests, changesOfTasks(world), world.store.conflicts, world.store.refused);
        }

        StoreCounts since(StoreCounts before) {
            return new StoreCounts(
                    requests - before.requests,
                    taskChanges - before.taskChanges,
                    conflicts - before.conflicts,
                    refused - before.refused);
        }
    }

    /**
     * Runs the workload and asserts that all jobs are done, that each task started once, and that the store load per task
     * is bounded.
     */
    private static void assertCheapAndDone(ClusterSimulator world, Workload workload) {
        world.store.pageSize = 500;
        boot(world, workload.machines());
        world.runUntil(FIRST_JOB_SECOND);
        StoreCounts before = StoreCounts.of(world);
        int tasks = submit(world, workload);
        world.runUntil(100 + workload.jobs());
        assertEquals(List.of(), world.rules.broken);
        assertAllDone(world);
        assertEquals(tasks, world.rules.starts, () -> String.join("\n", world.log));
        assertWithinBudget(world, tasks, StoreCounts.of(world).since(before));
    }

    private static void boot(ClusterSimulator world, int machines) {
        List<String> zones = world.cloud.zones;
        for (int i = 0; i < machines; i++) {
            world.cloud.boot(
                    i % 3 == 0 ? "large" : "small",
                    zones.get(i % zones.size()),
                    i % 2 == 0,
                    Duration.ofMillis(100 + world.random.nextInt(5000)));
        }
    }

    /** Schedules the submissions and returns the total number of tasks. */
    private static int submit(ClusterSimulator world, Workload workload) {
        int tasks = 0;
        // Uses a separate random generator. With the one that also draws message delays, each additional or omitted
        // call
        // would change the job sizes, at times to more work than the limits of the teams allow.
        SplittableRandom sizes = new SplittableRandom(workload.jobs());
        for (int i = 0; i < workload.jobs(); i++) {
            int size = workload.leastTasks() + sizes.nextInt(workload.moreTasks());
            tasks += size;
            String id = "j-" + (1000 + i);
            String team = workload.teams().get(i % workload.teams().size());
            List<String> options = i % 4 == 0 ? List.of() : List.of("urgent");
            world.at(FIRST_JOB_SECOND + i, () -> world.users.submit(id, team, size, 4, 20, options));
        }
        return tasks;
    }

    private static void assertAllDone(ClusterSimulator world) {
        assertEquals(
                List.of(),
                world.users.jobs.values().stream()
                        .filter(job -> job.doneTold == null)
                        .map(job ->
                                job.id + " with " + job.tasks + " tasks of team " + job.team + ", started " + job.begun)
                        .toList(),
                () -> world.store.changesOf + " " + world.store.conflictsOf);
    }

    private static void assertWithinBudget(ClusterSimulator world, int tasks, StoreCounts counts) {
        double longestWait = longestWaitSeconds(world);
        String all = "tasks " + tasks + ", longest wait " + longestWait + " s, " + counts + "; writes "
                + world.store.changesOf + ", conflicts " + world.store.conflictsOf;
        assertTrue(counts.taskChanges < 1.6 * tasks, all);
        assertTrue(counts.requests < 5 * tasks, all);
        assertTrue(counts.conflicts < 0.1 * tasks, all);
        assertTrue(counts.refused < 0.02 * counts.requests, all);
        assertTrue(longestWait < 10, all);
    }

    /** Returns the longest time in seconds from the submission of a job to the start of its first task. */
    private static double longestWaitSeconds(ClusterSimulator world) {
        return world.users.jobs.values().stream()
                        .mapToLong(job ->
                                Duration.between(job.submitted, job.begun).toMillis())
                        .max()
                        .orElse(0)
                / 1e3;
    }

    /**
     * Returns the number of writes except those of machine records, whose number depends on launched and returned
     * instances.
     */
    private static int changesOfTasks(ClusterSimulator world) {
        return world.store.changesOf.entrySet().stream()
                .filter(e -> !e.getKey().contains("live/machine"))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** With less than a tenth of the default request and write rates, the state service is slow, but all jobs complete. */
    @Test
    void aServiceWithATenthOfTheLimitsIsSlowButAllIsDone() {
        String team = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":24}";
        String agents = "{\"report_s\":5,\"lease_s\":30,\"cancel_s\":60}";
        String store = "{\"rps\":25,\"write_rps\":10,\"value_kb\":8,\"txn_ops\":12}";
        ClusterSimulator world = new ClusterSimulator(13, SimulatorSettings.of(0, NODES, team, agents, store));
        for (int i = 0; i < NODES; i++) {
            world.addNode(SimulatorSettings.of(i, NODES, team, agents, store));
        }
        for (String zone : List.of("a", "b", "c")) {
            world.cloud.boot("large", zone, false, Duration.ofMillis(100));
        }
        for (int i = 0; i < 10; i++) {
            String id = "j-" + (1000 + i);
            world.at(10 + 5 * i, () -> world.users.submit(id, "red", 6, 4, 8, List.of()));
        }
        world.runUntil(300);
        assertEquals(List.of(), world.rules.broken);
        assertTrue(
                world.users.jobs.values().stream().allMatch(job -> job.doneTold != null),
                () -> "not all jobs are done: " + world.store.requests + " " + world.store.refused + " "
                        + world.store.changesOf + " "
                        + world.users.jobs.values().stream()
                                .map(job -> job.id + job.accepted + job.begun + job.doneTold)
                                .toList());
        world.behaviour.assertKept("grown/tenth-of-the-limits");
    }

    /**
     * While urgent jobs request more capacity than there is, other jobs still run, and the largest of them start within four
     * minutes.
     */
    @Test
    void noKindOfWorkStarvesInABurst() {
        ClusterSimulator world = new ClusterSimulator(12, SimulatorSettings.of(0, UNLIMITED_TEAM));
        for (int i = 0; i < 3; i++) {
            world.addNode(SimulatorSettings.of(i, UNLIMITED_TEAM));
        }
        for (String zone : List.of("a", "b", "c")) {
            world.cloud.boot("large", zone, false, Duration.ofMillis(100));
        }
        world.at(5, () -> world.cloud.outage = true);
        for (int i = 0; i < 150; i++) {
            String id = "j-" + (1000 + i);
            world.at(6 + 2 * i, () -> world.users.submit(id, "red", 6, 4, 8, List.of("urgent", "class=flash")));
        }
        for (int i = 0; i < 8; i++) {
            String id = "j-" + (2000 + i);
            int size = i == 1 ? 24 : 4;
            world.at(10 + 20 * i, () -> world.users.submit(id, "red", size, 4, 15, List.of("class=cut")));
        }
        world.runUntil(320);
        assertEquals(List.of(), world.rules.broken);
        assertTrue(world.users.jobs.get("j-2001").begun != null, "the largest job starts during the burst");
        world.runUntil(900);
        world.rules.endOfDay();
        assertEquals(List.of(), world.rules.broken);
        world.behaviour.assertKept("grown/burst");
    }
}
