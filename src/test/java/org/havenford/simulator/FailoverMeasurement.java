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
 * Measures the duration of failovers. Not part of the build, since times depend on the machine:
 * {@code mvn test -Dtest=FailoverMeasurement}. The system properties under {@code havenford.measure} select what is
 * measured: {@code kills}, {@code machines}, {@code withoutStandby}, and {@code stop} to suspend controllers instead of
 * killing them.
 */
class FailoverMeasurement {
    /** Evictions of the same node are a minimum time apart, so each controller of a cluster fails only once. */
    private static final int FAILURES_PER_CLUSTER = 3;

    private static final int MAX_MILLIS = 120_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    /** The upper 32 bits of a fencing token hold the epoch of the view. */
    private static final int EPOCH_SHIFT = 32;

    private final int kills = Integer.getInteger("havenford.measure.kills", 30);
    private final int machines = Integer.getInteger("havenford.measure.machines", 60);
    private final boolean standby = !Boolean.getBoolean("havenford.measure.withoutStandby");
    private final boolean suspends = Boolean.getBoolean("havenford.measure.stop");
    private final Histogram firstAgentMillis = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
    private final Histogram lastAgentMillis = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
    private int tasksDone;
    private int starts;
    private int evictions;

    @TempDir
    Path directory;

    /**
     * Kills or suspends one controller after the other during bursts of submissions, and measures the time until the first
     * and the last of its agents have received a fencing token of a later view.
     */
    @Test
    void measureFailovers() throws Exception {
        for (int kill = 0; kill < kills; kill += FAILURES_PER_CLUSTER) {
            measureCluster(Files.createDirectory(directory.resolve("cluster-" + kill)));
        }
        report();
    }

    private void measureCluster(Path logDirectory) throws Exception {
        String operatorXml = standby ? SubmissionBurst.STANDBY_ON : SubmissionBurst.STANDBY_OFF;
        try (LoopbackCluster loopback = SubmissionBurst.start(logDirectory, operatorXml, machines)) {
            for (int node = 0; node < FAILURES_PER_CLUSTER; node++) {
                SubmissionBurst.submit(loopback, 100 + node * SubmissionBurst.TASKS, 2);
                loopback.runUntil(() -> false, 2);
                measureFailover(loopback, "node-" + node);
                assertTrue(loopback.runUntil(
                        () -> SubmissionBurst.allDone(loopback), 3 * SubmissionBurst.TIMEOUT_SECONDS));
                loopback.runUntil(() -> false, 5);
            }
            assertEquals(List.of(), loopback.simulator.invariants.violations);
            tasksDone += loopback.simulator.users.completedTasks.size();
            starts += loopback.simulator.invariants.starts;
            evictions += loopback.simulator.store.evictions;
        }
    }

    private void measureFailover(LoopbackCluster loopback, String node) throws IOException, InterruptedException {
        Set<SimulatedAgent> agents = loopback.simulator.agents.values().stream()
                .filter(agent -> agent.up() && agent.reportsTo(node))
                .collect(Collectors.toSet());
        long epoch = loopback.simulator
                .store
                .value("live/view")
                .getAsJsonObject()
                .get("epoch")
                .getAsLong();
        ControllerProcess controller = loopback.controllers.get(node);
        double from = loopback.seconds();
        if (suspends) {
            controller.suspend();
        } else {
            controller.kill();
        }
        loopback.runUntil(
                () -> agents.stream().anyMatch(agent -> agent.fencingToken >> EPOCH_SHIFT > epoch),
                SubmissionBurst.TIMEOUT_SECONDS);
        firstAgentMillis.recordValue(millisSince(from, loopback));
        boolean all = loopback.runUntil(
                () -> agents.stream().noneMatch(agent -> agent.up() && agent.fencingToken >> EPOCH_SHIFT <= epoch),
                SubmissionBurst.TIMEOUT_SECONDS);
        assertTrue(all, "some machines of " + node + " were not taken over");
        lastAgentMillis.recordValue(millisSince(from, loopback));
        if (suspends) {
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
                "standby %s, %s, %d machines, %d kills: first agent %s, last agent %s; "
                        + "tasks %d, starts %d, evictions %d%n",
                standby ? "on" : "off",
                suspends ? "stopped" : "killed",
                machines,
                lastAgentMillis.getTotalCount(),
                percentiles(firstAgentMillis),
                percentiles(lastAgentMillis),
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
