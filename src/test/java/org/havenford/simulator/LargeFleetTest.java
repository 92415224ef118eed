package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.havenford.settings.PlatformSettings;
import org.junit.jupiter.api.Test;

/** What only shows at size: counts of what the state service is asked for, and that no kind of work starves. */
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

    /** Seven controllers and a thousand machines within a service of 150 requests and 50 changes a second. */
    @Test
    void aThousandMachinesWithinTheLimitsOfTheService() {
        ClusterSimulator world = new ClusterSimulator(11, settings(0));
        for (int i = 0; i < NODES; i++) {
            world.addNode(settings(i));
        }
        assertCheapAndDone(world, new Workload(1000, 90, 5, 40, List.of("red", "red", "blue")));
        world.behaviour.assertKept("grown/a-thousand-machines");
    }

    /** Half as many machines again as the largest deployment, in four zones: what a task costs stays what it was. */
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

    /** The same on three controllers with larger limits and no team's limit. */
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
     * A list of machines takes more pages than calls may go out at once. It is read to its end all the same: a machine that is
     * gone is noticed sooner than by its silence alone.
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
        assertTrue(!world.store.holds("live/machine/", "host-003333"), "the machine is off the record");
        world.behaviour.assertKept("grown/long-list");
    }

    /** The largest deployment, on three controllers: plain work and a burst. */
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
     * What runs on a fleet: so many machines from the start, and a job a second of {@code leastTasks} tasks and up to
     * {@code moreTasks} more, of the teams in turn.
     */
    private record Workload(int machines, int jobs, int leastTasks, int moreTasks, List<String> teams) {}

    /** What the state service was asked for. */
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

    /** Plays the workload, and checks that all is done, each task started once, at a bounded cost for each task. */
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

    /** Schedules the jobs and returns how many tasks they have. */
    private static int submit(ClusterSimulator world, Workload workload) {
        int tasks = 0;
        // Drawn apart from the delays of messages: or each call more or less would make it another run, at times with
        // more work than the teams' limits take.
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
                        .map(job -> job.id + " of " + job.tasks + " by " + job.team + ", begun " + job.begun)
                        .toList(),
                () -> world.store.changesOf + " " + world.store.conflictsOf);
    }

    private static void assertWithinBudget(ClusterSimulator world, int tasks, StoreCounts counts) {
        double longestWait = longestWaitSeconds(world);
        String all = "tasks " + tasks + ", longest wait " + longestWait + " s, " + counts + "; changes "
                + world.store.changesOf + ", conflicts " + world.store.conflictsOf;
        assertTrue(counts.taskChanges < 1.6 * tasks, all);
        assertTrue(counts.requests < 5 * tasks, all);
        assertTrue(counts.conflicts < 0.1 * tasks, all);
        assertTrue(counts.refused < 0.02 * counts.requests, all);
        assertTrue(longestWait < 10, all);
    }

    /** The longest time from a submission to the job's first start. */
    private static double longestWaitSeconds(ClusterSimulator world) {
        return world.users.jobs.values().stream()
                        .mapToLong(job ->
                                Duration.between(job.submitted, job.begun).toMillis())
                        .max()
                        .orElse(0)
                / 1e3;
    }

    /** Renting and returning go their own way; what counts here is what a task costs. */
    private static int changesOfTasks(ClusterSimulator world) {
        return world.store.changesOf.entrySet().stream()
                .filter(e -> !e.getKey().contains("live/machine"))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** Limits a tenth as high make the service slow, not broken. */
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
                () -> "all jobs are done: " + world.store.requests + " " + world.store.refused + " "
                        + world.store.changesOf + " "
                        + world.users.jobs.values().stream()
                                .map(job -> job.id + job.accepted + job.begun + job.doneTold)
                                .toList());
        world.behaviour.assertKept("grown/tenth-of-the-limits");
    }

    /** While urgent work asks for more than there is, the rest still gets its turn, the largest jobs within four minutes. */
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
        assertTrue(world.users.jobs.get("j-2001").begun != null, "the largest has begun while the burst goes on");
        world.runUntil(900);
        world.rules.endOfDay();
        assertEquals(List.of(), world.rules.broken);
        world.behaviour.assertKept("grown/burst");
    }
}
