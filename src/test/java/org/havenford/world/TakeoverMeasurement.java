package org.havenford.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Not part of the build, since times depend on the machine: {@code mvn test -Dtest=TakeoverMeasurement}. */
class TakeoverMeasurement {
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
        try (LoopbackWorld loopback =
                RenderBurst.start(directory, on ? RenderBurst.STANDBY_ON : RenderBurst.STANDBY_OFF, machines)) {
            for (int kill = 0; kill < kills; kill++) {
                RenderBurst.submit(loopback, 100 + kill * RenderBurst.RENDERS, 4);
                loopback.runUntil(() -> false, 3);
                measure(loopback, "node-" + kill % 3, stop, first, last);
                assertTrue(loopback.runUntil(() -> RenderBurst.allDone(loopback), 3 * RenderBurst.PATIENCE_SECONDS));
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
        loopback.runUntil(() -> workers.stream().anyMatch(w -> w.token >> 32 > epoch), RenderBurst.PATIENCE_SECONDS);
        first.recordValue((long) ((loopback.seconds() - from) * 1000));
        boolean all = loopback.runUntil(
                () -> workers.stream().noneMatch(w -> w.up() && w.token >> 32 <= epoch), RenderBurst.PATIENCE_SECONDS);
        assertTrue(all, "some machines of " + node + " were not taken over");
        last.recordValue((long) ((loopback.seconds() - from) * 1000));
        if (stop) {
            controller.resume();
        } else {
            controller.start();
        }
    }
}
