package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Not part of the build, since times depend on the machine: {@code mvn test -Dtest=FailoverMeasurement}. */
class FailoverMeasurement {
    private static final int KILLS_OF_A_WORLD = 3;

    @TempDir
    Path directory;

    /**
     * Kills or stops one controller after the other amid bursts, and tells how long it takes until the first and the last
     * worker of its machines have seen a token of a new owner.
     */
    @Test
    void measureTakeovers() throws Exception {
        int kills = Integer.getInteger("havenford.measure.kills", 30);
        int machines = Integer.getInteger("havenford.measure.machines", 60);
        boolean on = !Boolean.getBoolean("havenford.measure.withoutStandby");
        boolean stop = Boolean.getBoolean("havenford.measure.stop");
        Histogram first = new Histogram(120_000, 3);
        Histogram last = new Histogram(120_000, 3);
        int done = 0;
        int starts = 0;
        int evictions = 0;
        for (int kill = 0; kill < kills; kill += KILLS_OF_A_WORLD) {
            // Evictions of the same node are spaced, so each controller of a world is killed once.
            Path logs = Files.createDirectory(directory.resolve("world-" + kill));
            try (LoopbackCluster loopback = SubmissionBurst.start(
                    logs, on ? SubmissionBurst.STANDBY_ON : SubmissionBurst.STANDBY_OFF, machines)) {
                for (int node = 0; node < KILLS_OF_A_WORLD; node++) {
                    SubmissionBurst.submit(loopback, 100 + node * SubmissionBurst.RENDERS, 2);
                    loopback.runUntil(() -> false, 2);
                    measure(loopback, "node-" + node, stop, first, last);
                    assertTrue(loopback.runUntil(
                            () -> SubmissionBurst.allDone(loopback), 3 * SubmissionBurst.PATIENCE_SECONDS));
                    loopback.runUntil(() -> false, 5);
                }
                assertEquals(List.of(), loopback.world.rules.broken);
                done += loopback.world.users.finished.size();
                starts += loopback.world.rules.starts;
                evictions += loopback.world.store.evictions;
            }
        }
        System.out.printf(
                "standby %s, %s, %d machines, %d kills: first worker p50 %d p99 %d worst %d ms, "
                        + "last worker p50 %d p99 %d worst %d ms; tasks %d, starts %d, evictions %d%n",
                on ? "on" : "off",
                stop ? "stopped" : "killed",
                machines,
                last.getTotalCount(),
                first.getValueAtPercentile(50),
                first.getValueAtPercentile(99),
                first.getMaxValue(),
                last.getValueAtPercentile(50),
                last.getValueAtPercentile(99),
                last.getMaxValue(),
                done,
                starts,
                evictions);
    }

    private static void measure(LoopbackCluster loopback, String node, boolean stop, Histogram first, Histogram last)
            throws IOException, InterruptedException {
        Set<SimulatedAgent> workers = loopback.world.workers.values().stream()
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
        loopback.runUntil(
                () -> workers.stream().anyMatch(w -> w.token >> 32 > epoch), SubmissionBurst.PATIENCE_SECONDS);
        first.recordValue((long) ((loopback.seconds() - from) * 1000));
        boolean all = loopback.runUntil(
                () -> workers.stream().noneMatch(w -> w.up() && w.token >> 32 <= epoch),
                SubmissionBurst.PATIENCE_SECONDS);
        assertTrue(all, "some machines of " + node + " were not taken over");
        last.recordValue((long) ((loopback.seconds() - from) * 1000));
        if (stop) {
            controller.resume();
        } else {
            controller.start();
        }
    }
}
