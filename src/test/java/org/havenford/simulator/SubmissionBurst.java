package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.havenford.protocol.MalformedMessageException;

/** A real-time cluster of three controllers and a burst of 200 tasks, shared by failover tests and measurements. */
final class SubmissionBurst {
    static final String STANDBY_ON = "<havenford><standby>on</standby></havenford>";
    static final String STANDBY_OFF = "<havenford><standby>off</standby></havenford>";
    /** Longer than any failover takes, so that waiting times out only if the awaited event does not happen at all. */
    static final double TIMEOUT_SECONDS = 60;

    static final int TASKS = 200;
    private static final int TASKS_PER_JOB = 10;
    private static final String TEAM = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}";
    private static final List<String> ZONES = List.of("a", "b", "c");

    private SubmissionBurst() {}

    /** Starts three controllers and the machines, and waits until every agent has received a fencing token. */
    static LoopbackCluster start(Path directory, String operatorXml, int machines)
            throws IOException, MalformedMessageException, InterruptedException {
        LoopbackCluster loopback = new LoopbackCluster(directory, 3, TEAM, operatorXml);
        loopback.simulator.cloud.maxMachinesPerOffer = machines / ZONES.size();
        for (int i = 0; i < machines; i++) {
            loopback.simulator.cloud.boot("large", ZONES.get(i % ZONES.size()), false, Duration.ofMillis(500));
        }
        boolean ready = false;
        try {
            ready = loopback.runUntil(
                    () -> loopback.simulator.agents.values().stream().allMatch(agent -> agent.fencingToken > 0),
                    TIMEOUT_SECONDS);
            assertTrue(ready, "not every agent received a fencing token");
            return loopback;
        } finally {
            if (!ready) {
                // The caller receives no cluster to close, so the controller processes must be ended here.
                loopback.close();
            }
        }
    }

    /** Submits {@link #TASKS} tasks of four CPUs each, in jobs of ten tasks. */
    static void submit(LoopbackCluster loopback, int firstJob, double runSeconds) {
        for (int i = 0; i < TASKS / TASKS_PER_JOB; i++) {
            loopback.simulator.users.submit(
                    "j-" + (firstJob + i), "red", TASKS_PER_JOB, 4, runSeconds, List.of("image-gb=0.2"));
        }
    }

    /** Returns whether all submitted jobs were reported as done. */
    static boolean allDone(LoopbackCluster loopback) {
        return loopback.simulator.users.jobs.values().stream().allMatch(job -> job.reportedDoneAt != null);
    }
}
