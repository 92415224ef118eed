package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws a run in which agents restart while their heartbeats are lost and direct calls still reach them. Long jobs arrive
 * at about the time of each restart, and other machines have room for them.
 */
final class RestartedAgentScenario {
    private static final int SMALL_MACHINES = 4;
    private static final int HEARTBEAT_INTERVAL_MILLIS = 3000;
    private static final int MUTE_SECONDS = 60;
    private static final int MILLIS_PER_SECOND = 1000;

    private RestartedAgentScenario() {}

    static List<String> draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int controllers = RandomNames.drawControllers(random, 3, 3, 5, 7);
        TraceBuilder trace = new TraceBuilder();
        trace.add("seed " + seed, "nodes " + controllers, "team red 0 0");
        if (random.nextInt(3) == 0) {
            trace.add("standby on");
        }
        for (int i = 0; i < SMALL_MACHINES; i++) {
            trace.add("machine small " + RandomNames.drawZone(random) + " ordinary");
        }
        trace.add("machine large a ordinary", "machine large b ordinary");
        for (int i = 0; i < SMALL_MACHINES; i++) {
            drawRestart(random, trace, i);
        }
        if (random.nextInt(3) == 0) {
            String controller = RandomNames.controller(random.nextInt(controllers));
            int second = 8 + random.nextInt(30);
            trace.at(second, "crash " + controller);
            trace.at(second + 1 + random.nextInt(6), "start " + controller);
        }
        trace.add("until 260");
        return trace.lines();
    }

    private static void drawRestart(SplittableRandom random, TraceBuilder trace, int number) {
        String machine = RandomNames.machine(number);
        int muteAt = (10 + 2 * number) * MILLIS_PER_SECOND + random.nextInt(HEARTBEAT_INTERVAL_MILLIS);
        int rebootAt = muteAt + random.nextInt(2 * HEARTBEAT_INTERVAL_MILLIS);
        int submitAt = rebootAt + random.nextInt(HEARTBEAT_INTERVAL_MILLIS / 2);
        String job = RandomNames.job(RandomNames.FIRST_JOB + number);
        trace.at(seconds(muteAt), "mute " + machine);
        trace.at(seconds(rebootAt), "reboot " + machine);
        trace.at(seconds(submitAt), "submit " + job + " red 1 4 " + (40 + random.nextInt(40)));
        trace.at(seconds(muteAt) + MUTE_SECONDS, "speaks " + machine);
        trace.expectDone(job);
    }

    private static double seconds(int millis) {
        return millis / (double) MILLIS_PER_SECOND;
    }
}
