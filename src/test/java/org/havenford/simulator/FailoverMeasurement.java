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

/**
 * Measures how long takeovers take. Not part of the build, since times depend on the machine:
 * {@code mvn test -Dtest=FailoverMeasurement}. System properties under {@code havenford.measure} say what is measured:
 * {@code kills}, {@code machines}, {@code withoutStandby}, and {@code stop} to stop controllers instead of killing them.
 */
class FailoverMeasurement {
    /** Evictions of the same node are spaced, so each controller of a cluster is killed once. */
    private static final int KILLS_OF_A_CLUSTER = 3;

    private static final int LONGEST_MILLIS = 120_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    /** The epoch of the view stands in a token's upper half. */
    private static final int EPOCH_SHIFT = 32;

    private final int kills = Integer.getInteger("havenford.measure.kills", 30);
    private final int machines = Integer.getInteger("havenford.measure.machines", 60);
    private final boolean standby = !Boolean.getBoolean("havenford.measure.withoutStandby");
    private final boolean stops = Boolean.getBoolean("havenford.measure.stop");
    private final Histogram firstAgent = new Histogram(LONGEST_MILLIS, SIGNIFICANT_DIGITS);
    private final Histogram lastAgent = new Histogram(LONGEST_MILLIS, SIGNIFICANT_DIGITS);
    private int tasksDone;
    private int starts;
    private int evictions;

    @TempDir
    Path directory;

    /**
     * Kills or stops one controller after the other amid bursts, and tells how long it takes until the first and the last
     * worker of its machines have seen a token of a new owner.
     */
    @Test
    void measureTakeovers() throws Exception {
        for (int kill = 0; kill < kills; kill += KILLS_OF_A_CLUSTER) {
            measureCluster(Files.createDirectory(directory.resolve("world-" + kill)));
        }
        report();
    }

    private void measureCluster(Path logs) throws Exception {
        String operatorXml = standby ? SubmissionBurst.STANDBY_ON : SubmissionBurst.STANDBY_OFF;
        try (LoopbackCluster loopback = SubmissionBurst.start(logs, operatorXml, machines)) {
            for (int node = 0; node < KILLS_OF_A_CLUSTER; node++) {
                SubmissionBurst.submit(loopback, 100 + node * SubmissionBurst.RENDERS, 2);
                loopback.runUntil(() -> false, 2);
                measureTakeover(loopback, "node-" + node);
                assertTrue(loopback.runUntil(
                        () -> SubmissionBurst.allDone(loopback), 3 * SubmissionBurst.PATIENCE_SECONDS));
                loopback.runUntil(() -> false, 5);
            }
            assertEquals(List.of(), loopback.world.rules.broken);
            tasksDone += loopback.world.users.finished.size();
            starts += loopback.world.rules.starts;
            evictions += loopback.world.store.evictions;
        }
    }

    private void measureTakeover(LoopbackCluster loopback, String node) throws IOException, InterruptedException {
        Set<SimulatedAgent> agents = loopback.world.workers.values().stream()
                .filter(agent -> agent.up() && agent.reportsTo(node))
                .collect(Collectors.toSet());
        long epoch = loopback.world
                .store
                .value("live/view")
                .getAsJsonObject()
                .get("epoch")
                .getAsLong();
        ControllerProcess controller = loopback.controllers.get(node);
        double from = loopback.seconds();
        if (stops) {
            controller.stop();
        } else {
            controller.kill();
        }
        loopback.runUntil(
                () -> agents.stream().anyMatch(agent -> agent.token >> EPOCH_SHIFT > epoch),
                SubmissionBurst.PATIENCE_SECONDS);
        firstAgent.recordValue(millisSince(from, loopback));
        boolean all = loopback.runUntil(
                () -> agents.stream().noneMatch(agent -> agent.up() && agent.token >> EPOCH_SHIFT <= epoch),
                SubmissionBurst.PATIENCE_SECONDS);
        assertTrue(all, "some machines of " + node + " were not taken over");
        lastAgent.recordValue(millisSince(from, loopback));
        if (stops) {
            controller.resume();
        } else {
            controller.start();
        }
    }

    private static long millisSince(double second, LoopbackCluster loopback) {
        return (long) ((loopback.seconds() - second) * 1000);
    }

    private void report() {
        System.out.printf(
                "standby %s, %s, %d machines, %d kills: first worker %s, last worker %s; "
                        + "tasks %d, starts %d, evictions %d%n",
                standby ? "on" : "off",
                stops ? "stopped" : "killed",
                machines,
                lastAgent.getTotalCount(),
                percentiles(firstAgent),
                percentiles(lastAgent),
                tasksDone,
                starts,
                evictions);
    }

    private static String percentiles(Histogram millis) {
        return String.format(
                "p50 %d p99 %d worst %d ms",
                millis.getValueAtPercentile(50), millis.getValueAtPercentile(99), millis.getMaxValue());
    }
}
