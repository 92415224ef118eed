package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws a run in which a controller crashes, is back at once and, when the lease of its former incarnation is about to
 * expire, is cut off together with its zone, while a late copy of its former registration reaches the state service.
 */
final class RepeatedRegistrationScenario {
    private static final int MACHINES_IN_CUT_ZONE = 4;
    private static final int JOBS = 4;
    /** A renewal of the former incarnation, two seconds apart from the next, after the machines have got their tasks. */
    private static final double LAST_RENEWAL = 14.1;

    private static final double LEASE = 8;
    /** Longer than the lease of an agent and that of a member together. */
    private static final double CUT = 45;

    private RepeatedRegistrationScenario() {}

    static List<String> draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int controllers = RandomNames.drawControllers(random, 3, 3, 5, 7);
        TraceBuilder trace = new TraceBuilder();
        trace.add("seed " + seed, "nodes " + controllers, "team red 0 0");
        for (int i = 0; i < MACHINES_IN_CUT_ZONE; i++) {
            trace.add("machine large a ordinary");
        }
        trace.add("machine large b ordinary", "machine large c ordinary");
        double crashAt = LAST_RENEWAL + random.nextInt(10) / 10.0;
        double copyAt = LAST_RENEWAL + LEASE - random.nextInt(25) / 10.0;
        // All controllers have registered within the first two seconds.
        trace.at(0, "repeats node-0 " + copyAt);
        trace.at(2, "no-repeats node-0");
        for (int i = 0; i < JOBS; i++) {
            String job = RandomNames.job(RandomNames.FIRST_JOB + i);
            trace.at(3 + i, "submit " + job + " red 6 4 100 image-gb=0.1");
            trace.expectDone(job);
        }
        trace.at(crashAt, "crash node-0");
        trace.at(crashAt + 0.1 + random.nextInt(8) / 10.0, "start node-0");
        double cutAt = copyAt - random.nextInt(6) / 10.0;
        trace.at(cutAt, "cut-zone a " + (random.nextBoolean() ? "drop" : "hold"));
        trace.at(cutAt + CUT, "heal-zone a");
        trace.add("until 400");
        return trace.lines();
    }
}
