package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws a run in which a job is cancelled through one controller just after the zone of another one, which owns the machines
 * of the job, was cut off. The cancellation limit exceeds the lease of an agent by little.
 */
final class CancellationLimitScenario {
    private static final int MACHINES = 4;
    /** The least by which the limit has to exceed the lease, for a lease of at most 36 s. */
    private static final double MIN_DIFFERENCE = 3.1;

    private CancellationLimitScenario() {}

    static List<String> draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int lease = 8 + random.nextInt(29);
        double limit = lease + MIN_DIFFERENCE + random.nextInt(80) / 10.0;
        TraceBuilder trace = new TraceBuilder();
        trace.add("seed " + seed, "team red 0 0", "agents 3 " + lease + " " + limit);
        for (int i = 0; i < MACHINES; i++) {
            trace.add("machine large a ordinary");
        }
        trace.at(3, "submit j-1 red 12 4 150 image-gb=0.1");
        double cutAt = 12 + random.nextInt(80) / 10.0;
        trace.at(cutAt, "cut-zone a " + (random.nextBoolean() ? "drop" : "hold"));
        trace.at(cutAt + random.nextInt(4) / 10.0, "cancel j-1 node-1");
        trace.at(cutAt + limit + 30, "heal-zone a");
        trace.add("until " + (cutAt + limit + 60));
        return trace.lines();
    }
}
