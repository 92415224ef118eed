package org.havenford.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.havenford.protocol.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.api.io.TempDir;

/** Controllers as real processes on loopback are killed and stopped amid a burst; rules and counts are asserted, not times. */
class LoopbackTakeoverTest {
    private static final String STANDBY_ON = "<havenford><standby>on</standby></havenford>";
    private static final String STANDBY_OFF = "<havenford><standby>off</standby></havenford>";
    private static final String TEAM = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}";
    private static final List<String> ZONES = List.of("a", "b", "c");
    /** Longer than any take-over takes: an assertion that waits fails only when nothing happens at all. */
    private static final double PATIENCE_SECONDS = 60;

    private static final int RENDERS = 200;
    private static final int RENDERS_PER_JOB = 10;

    @TempDir
    Path directory;

    @Test
    @Timeout(240)
    void aBurstOfRendersSurvivesKilledAndStoppedControllers() throws Exception {
        try (LoopbackWorld loopback = loopback(STANDBY_ON, 18)) {
            submitBurst(loopback, 100, 3);
            assertTrue(loopback.runUntil(() -> loopback.world.rules.starts >= RENDERS / 8, PATIENCE_SECONDS));

            loopback.controllers.get("node-0").kill();
            awaitEvictions(loopback, 1);
            loopback.controllers.get("node-0").start();

            assertTrue(loopback.runUntil(() -> loopback.world.rules.starts >= RENDERS / 2, PATIENCE_SECONDS));
            loopback.controllers.get("node-1").stop();
            awaitEvictions(loopback, 2);
            loopback.controllers.get("node-1").resume();

            assertTrue(
                    loopback.runUntil(() -> allDone(loopback), 3 * PATIENCE_SECONDS),
                    () -> loopback.world.users.finished.size() + " done\n" + String.join("\n", loopback.world.log));
            loopback.runUntil(() -> false, 2);
            assertEquals(List.of(), loopback.world.rules.broken);
            assertEquals(RENDERS, loopback.world.users.finished.size());
            assertEquals(RENDERS, loopback.world.rules.starts, "a task was started more than once");
        }
    }

    private LoopbackWorld loopback(String operatorXml, int machines)
            throws IOException, Json.BadMessage, InterruptedException {
        LoopbackWorld loopback = new LoopbackWorld(directory, 3, TEAM, operatorXml);
        loopback.world.cloud.perOffer = machines / ZONES.size();
        for (int i = 0; i < machines; i++) {
            loopback.world.cloud.boot("large", ZONES.get(i % ZONES.size()), false, Duration.ofMillis(500));
        }
        boolean ready = loopback.runUntil(
                () -> loopback.world.workers.values().stream().allMatch(w -> w.token > 0), PATIENCE_SECONDS);
        assertTrue(ready, "the controllers did not come up");
        return loopback;
    }

    /** Two hundred tasks of four CPUs. */
    private static void submitBurst(LoopbackWorld loopback, int firstJob, double runSeconds) {
        for (int i = 0; i < RENDERS / RENDERS_PER_JOB; i++) {
            loopback.world.users.submit(
                    "j-" + (firstJob + i), "red", RENDERS_PER_JOB, 4, runSeconds, List.of("image-gb=0.2"));
        }
    }

    private static boolean allDone(LoopbackWorld loopback) {
        return loopback.world.users.jobs.values().stream().allMatch(job -> job.doneTold != null);
    }

    private static void awaitEvictions(LoopbackWorld loopback, int count) throws InterruptedException {
        assertTrue(
                loopback.runUntil(() -> loopback.world.store.evictions >= count, PATIENCE_SECONDS),
                "eviction " + count + " did not come");
    }

    /**
     * Kills or stops one controller after the other amid bursts, and tells how long it takes until the first and the last
     * worker of its machines have seen a token of a new owner. Not part of the build: times depend on the machine.
     */
    @Test
    @EnabledIfSystemProperty(named = "havenford.measure.kills", matches = "[0-9]+")
    void measureTakeovers() throws Exception {
        int kills = Integer.getInteger("havenford.measure.kills");
        int machines = Integer.getInteger("havenford.measure.machines", 60);
        boolean on = !Boolean.getBoolean("havenford.measure.withoutStandby");
        boolean stop = Boolean.getBoolean("havenford.measure.stop");
        Histogram first = new Histogram(120_000, 3);
        Histogram last = new Histogram(120_000, 3);
        try (LoopbackWorld loopback = loopback(on ? STANDBY_ON : STANDBY_OFF, machines)) {
            for (int kill = 0; kill < kills; kill++) {
                submitBurst(loopback, 100 + kill * RENDERS, 4);
                loopback.runUntil(() -> false, 3);
                measure(loopback, "node-" + kill % 3, stop, first, last);
                assertTrue(loopback.runUntil(() -> allDone(loopback), 3 * PATIENCE_SECONDS));
                // Evictions of the same node are spaced; with three nodes in turn each is due again.
                loopback.runUntil(() -> false, 12);
            }
            assertEquals(List.of(), loopback.world.rules.broken);
            if (Boolean.getBoolean("havenford.measure.logs")) {
                for (ControllerProcess controller : loopback.controllers.values()) {
                    System.out.println(controller.log());
                }
            }
            System.out.printf(
                    "standby %s, %s, %d machines, %d kills: first worker p50 %d p99 %d worst %d ms, "
                            + "last worker p50 %d p99 %d worst %d ms; tasks %d, starts %d, evictions %d%n",
                    on ? "on" : "off",
                    stop ? "stopped" : "killed",
                    machines,
                    kills,
                    first.getValueAtPercentile(50),
                    first.getValueAtPercentile(99),
                    first.getMaxValue(),
                    last.getValueAtPercentile(50),
                    last.getValueAtPercentile(99),
                    last.getMaxValue(),
                    loopback.world.users.finished.size(),
                    loopback.world.rules.starts,
                    loopback.world.store.evictions);
        }
    }

    private static void measure(LoopbackWorld loopback, String node, boolean stop, Histogram first, Histogram last)
            throws IOException, InterruptedException {
        Set<Worker> workers = loopback.world.workers.values().stream()
                .filter(w -> w.up() && w.reportsTo(node))
                .collect(Collectors.toSet());
        long epoch = loopback.world
                .store
                .value("live/view")
                .getAsJsonObject()
                .get("epoch")
                .getAsLong();
        ControllerProcess controller = loopback.controllers.get(node);
        double from = loopback.seconds();
        if (stop) {
            controller.stop();
        } else {
            controller.kill();
        }
        loopback.runUntil(() -> workers.stream().anyMatch(w -> w.token >> 32 > epoch), PATIENCE_SECONDS);
        first.recordValue((long) ((loopback.seconds() - from) * 1000));
        boolean all = loopback.runUntil(
                () -> workers.stream().noneMatch(w -> w.up() && w.token >> 32 <= epoch), PATIENCE_SECONDS);
        assertTrue(all, "some machines of " + node + " were not taken over");
        last.recordValue((long) ((loopback.seconds() - from) * 1000));
        if (stop) {
            controller.resume();
        } else {
            controller.start();
        }
    }
}
