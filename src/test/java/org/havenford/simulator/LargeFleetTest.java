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
        Counts counts = day(world, 1000, 90, 5, 40, List.of("red", "red", "blue"));
        assertTrue(counts.waited < 10, counts::toString);
        world.behaviour.assertKept("grown/a-thousand-machines");
    }

    /** Half as many machines again as the largest deployment, in four zones: what a task costs stays what it was. */
    @Test
    void eighteenHundredMachinesOnSeven() {
        ClusterSimulator world = new ClusterSimulator(14, settings(0));
        world.cloud.zones = List.of("a", "b", "c", "d");
        for (int i = 0; i < NODES; i++) {
            world.addNode(settings(i));
        }
        Counts counts = day(world, 1850, 90, 5, 50, List.of("red", "red", "blue"));
        assertTrue(counts.waited < 10, counts::toString);
        world.behaviour.assertKept("grown/eighteen-hundred-machines");
    }

    /** The same on three controllers with larger limits and no team's limit. */
    @Test
    void sixteenHundredMachinesOnThree() {
        String team = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}";
        String workers = "{\"report_s\":4,\"lease_s\":26,\"cancel_s\":46}";
        String state = "{\"rps\":300,\"write_rps\":120,\"value_kb\":8,\"txn_ops\":12}";
        ClusterSimulator world = new ClusterSimulator(15, SimulatorSettings.of(0, 3, team, workers, state));
        world.cloud.zones = List.of("a", "b", "c", "d");
        for (int i = 0; i < 3; i++) {
            world.addNode(SimulatorSettings.of(i, 3, team, workers, state));
        }
        Counts counts = day(world, 1600, 90, 20, 60, List.of("red"));
        assertTrue(counts.waited < 10, counts::toString);
        world.behaviour.assertKept("grown/sixteen-hundred-machines");
    }

    /**
     * A list of machines takes more pages than calls may go out at once. It is read to its end all the same: a machine that is
     * gone is noticed sooner than by its silence alone.
     */
    @Test
    void aLongListOfMachinesIsReadToItsEnd() {
        String team = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}";
        String workers = "{\"report_s\":4,\"lease_s\":60,\"cancel_s\":90}";
        String state = "{\"rps\":500,\"write_rps\":250,\"value_kb\":8,\"txn_ops\":12}";
        ClusterSimulator world = new ClusterSimulator(17, SimulatorSettings.of(0, 1, team, workers, state));
        world.addNode(SimulatorSettings.of(0, 1, team, workers, state));
        for (int i = 0; i < 4000; i++) {
            world.cloud.boot("small", List.of("a", "b", "c").get(i % 3), false, Duration.ofMillis(100 + i));
        }
        world.runUntil(30);
        world.cloud.take("host-003333");
        world.runUntil(75);
        assertTrue(!world.store.holds("live/machine/", "host-003333"), "the machine is off the record");
        world.behaviour.assertKept("grown/long-list");
    }

    /** The largest deployment, on three controllers: plain work and a burst. */
    @Test
    void fourThousandMachinesOnThree() {
        String team = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}";
        String workers = "{\"report_s\":4,\"lease_s\":26,\"cancel_s\":46}";
        String state = "{\"rps\":500,\"write_rps\":250,\"value_kb\":8,\"txn_ops\":12}";
        ClusterSimulator world = new ClusterSimulator(16, SimulatorSettings.of(0, 3, team, workers, state));
        for (int i = 0; i < 3; i++) {
            world.addNode(SimulatorSettings.of(i, 3, team, workers, state));
        }
        Counts counts = day(world, 4000, 60, 40, 120, List.of("red"));
        assertTrue(counts.waited < 10, counts::toString);
        world.behaviour.assertKept("grown/four-thousand-machines");
    }

    /** What a day asked of the state service, and the longest wait for a first start. */
    private record Counts(int tasks, int requests, int changes, int conflicts, int refused, double waited) {}

    /** A day with so many machines from the start, and a job a second of {@code least} tasks and up to {@code more} more. */
    private static Counts day(ClusterSimulator world, int machines, int jobs, int least, int more, List<String> teams) {
        world.store.pageSize = 500;
        List<String> zones = world.cloud.zones;
        for (int i = 0; i < machines; i++) {
            world.cloud.boot(
                    i % 3 == 0 ? "large" : "small",
                    zones.get(i % zones.size()),
                    i % 2 == 0,
                    Duration.ofMillis(100 + world.random.nextInt(5000)));
        }
        world.runUntil(40);
        int requests = world.store.requests;
        int refused = world.store.refused;
        int conflicts = world.store.conflicts;
        int before = taskChanges(world);
        int total = 0;
        // Drawn apart from the delays of messages: or each call more or less would make it another day, at times with
        // more
        // work than the teams' limits take.
        SplittableRandom sizes = new SplittableRandom(jobs);
        for (int i = 0; i < jobs; i++) {
            int size = least + sizes.nextInt(more);
            total += size;
            String id = "j-" + (1000 + i);
            String team = teams.get(i % teams.size());
            String urgency = i % 4 == 0 ? "normal" : "urgent";
            world.at(40 + i, () -> world.users.submit(id, team, size, 4, 20, List.of(urgency)));
        }
        world.runUntil(100 + jobs);
        assertEquals(List.of(), world.rules.broken);
        assertEquals(
                List.of(),
                world.users.jobs.values().stream()
                        .filter(job -> job.doneTold == null)
                        .map(job -> job.id + " of " + job.tasks + " by " + job.team + ", begun " + job.begun)
                        .toList(),
                () -> world.store.changesOf + " " + world.store.conflictsOf);
        assertEquals(total, world.rules.starts, () -> String.join("\n", world.log));
        Counts counts = new Counts(
                total,
                world.store.requests - requests,
                taskChanges(world) - before,
                world.store.conflicts - conflicts,
                world.store.refused - refused,
                world.users.jobs.values().stream()
                                .mapToLong(job -> Duration.between(job.submitted, job.begun)
                                        .toMillis())
                                .max()
                                .orElse(0)
                        / 1e3);
        String all = counts + "; changes " + world.store.changesOf + ", conflicts " + world.store.conflictsOf;
        assertTrue(counts.changes < 1.6 * total, all);
        assertTrue(counts.requests < 5 * total, all);
        assertTrue(counts.conflicts < 0.1 * total, all);
        assertTrue(counts.refused < 0.02 * counts.requests, all);
        return counts;
    }

    /** Renting and returning go their own way; what counts here is what a task costs. */
    private static int taskChanges(ClusterSimulator world) {
        return world.store.changesOf.entrySet().stream()
                .filter(e -> !e.getKey().contains("live/machine"))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** Limits a tenth as high make the service slow, not broken. */
    @Test
    void aServiceWithATenthOfTheLimits() {
        String team = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":24}";
        String workers = "{\"report_s\":5,\"lease_s\":30,\"cancel_s\":60}";
        String state = "{\"rps\":25,\"write_rps\":10,\"value_kb\":8,\"txn_ops\":12}";
        ClusterSimulator world = new ClusterSimulator(13, SimulatorSettings.of(0, NODES, team, workers, state));
        for (int i = 0; i < NODES; i++) {
            world.addNode(SimulatorSettings.of(i, NODES, team, workers, state));
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
        ClusterSimulator world =
                new ClusterSimulator(12, SimulatorSettings.of(0, "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}"));
        for (int i = 0; i < 3; i++) {
            world.addNode(SimulatorSettings.of(i, "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}"));
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
