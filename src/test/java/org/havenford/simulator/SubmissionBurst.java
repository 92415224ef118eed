package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.havenford.protocol.MalformedMessageException;

/** Two hundred queued renders on three controllers in real time: what tests and measurements of take-overs share. */
final class SubmissionBurst {
    static final String STANDBY_ON = "<havenford><standby>on</standby></havenford>";
    static final String STANDBY_OFF = "<havenford><standby>off</standby></havenford>";
    /** Longer than any take-over takes: an assertion that waits fails only when nothing happens at all. */
    static final double TIMEOUT_SECONDS = 60;

    static final int TASKS = 200;
    private static final int TASKS_PER_JOB = 10;
    private static final String TEAM = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}";
    private static final List<String> ZONES = List.of("a", "b", "c");

    private SubmissionBurst() {}

    /** Three controllers and so many machines whose workers have all been answered. */
    static LoopbackCluster start(Path directory, String operatorXml, int machines)
            throws IOException, MalformedMessageException, InterruptedException {
        LoopbackCluster loopback = new LoopbackCluster(directory, 3, TEAM, operatorXml);
        loopback.simulator.cloud.perOffer = machines / ZONES.size();
        for (int i = 0; i < machines; i++) {
            loopback.simulator.cloud.boot("large", ZONES.get(i % ZONES.size()), false, Duration.ofMillis(500));
        }
        boolean ready = false;
        try {
            ready = loopback.runUntil(
                    () -> loopback.simulator.workers.values().stream().allMatch(agent -> agent.token > 0),
                    TIMEOUT_SECONDS);
            assertTrue(ready, "the controllers did not come up");
            return loopback;
        } finally {
            if (!ready) {
                // Nobody else would end the processes.
                loopback.close();
            }
        }
    }

    /** Two hundred tasks of four CPUs each. */
    static void submit(LoopbackCluster loopback, int firstJob, double runSeconds) {
        for (int i = 0; i < TASKS / TASKS_PER_JOB; i++) {
            loopback.simulator.users.submit(
                    "j-" + (firstJob + i), "red", TASKS_PER_JOB, 4, runSeconds, List.of("image-gb=0.2"));
        }
    }

    static boolean allDone(LoopbackCluster loopback) {
        return loopback.simulator.users.jobs.values().stream().allMatch(job -> job.doneTold != null);
    }
}
