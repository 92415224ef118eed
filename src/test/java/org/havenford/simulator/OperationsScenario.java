package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Extends {@link FaultScenario} with failing jobs, small low-priority jobs, a burst of status queries, other boot times,
 * a zone whose machines never boot, a process pause, and reset connections to the agents.
 */
final class OperationsScenario {
    private static final int SEED_OFFSET = 7;
    private static final int FAILING_JOBS = 3;
    private static final int FIRST_FAILING_JOB = 300;
    private static final int SMALL_JOBS = 20;
    private static final int FIRST_SMALL_JOB = 400;
    private static final int QUERY_BURST_SECONDS = 40;
    private static final int CHANGED_BOOT_TIME_SECONDS = 60;
    private static final int CONNECTION_RESET_SECONDS = 40;

    private OperationsScenario() {}

    static List<String> draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed + SEED_OFFSET);
        int controllers = RandomNames.drawControllers(random, 3, 5, 7);
        TraceBuilder trace = new TraceBuilder();
        trace.addAll(FaultScenario.draw(seed, controllers, 0));
        trace.add("per-offer 6");
        drawFailingJobs(random, trace);
        drawSmallJobs(random, trace);
        drawQueryBurst(random, trace);
        drawBootTimes(random, trace);
        drawZoneWithoutMachines(random, trace);
        drawPause(random, controllers, trace);
        drawResetConnections(random, controllers, trace);
        return trace.lines();
    }

    private static void drawFailingJobs(SplittableRandom random, TraceBuilder trace) {
        for (int i = 0; i < FAILING_JOBS; i++) {
            String job = RandomNames.job(FIRST_FAILING_JOB + i);
            trace.at(
                    5 + random.nextInt(60),
                    "submit " + job + " blue " + (1 + random.nextInt(12)) + " 1 5 broken"
                            + (random.nextBoolean() ? " urgent" : ""));
            trace.at(120 + random.nextInt(100), "cancel " + job);
        }
    }

    private static void drawSmallJobs(SplittableRandom random, TraceBuilder trace) {
        int firstSecond = 10 + random.nextInt(60);
        for (int i = 0; i < SMALL_JOBS; i++) {
            String job = RandomNames.job(FIRST_SMALL_JOB + i);
            trace.at(
                    firstSecond + i / 10.0,
                    "submit " + job + " blue 1 1 " + (3 + random.nextInt(20)) + " low class=dust");
            trace.expectDone(job);
        }
    }

    private static void drawQueryBurst(SplittableRandom random, TraceBuilder trace) {
        int second = 10 + random.nextInt(60);
        trace.at(second, "polls-as-often 8");
        trace.at(second + QUERY_BURST_SECONDS, "polls-as-often 1");
    }

    private static void drawBootTimes(SplittableRandom random, TraceBuilder trace) {
        int second = 5 + random.nextInt(50);
        trace.at(second, random.nextBoolean() ? "boots 1" : "boots 70");
        trace.at(second + CHANGED_BOOT_TIME_SECONDS, "boots-usually");
    }

    private static void drawZoneWithoutMachines(SplittableRandom random, TraceBuilder trace) {
        String zone = RandomNames.drawZone(random);
        trace.at(5 + random.nextInt(40), "dark-zone " + zone);
        trace.at(90, "lit-zone " + zone);
    }

    private static void drawPause(SplittableRandom random, int controllers, TraceBuilder trace) {
        String controller = RandomNames.controller(random.nextInt(controllers));
        int second = 10 + random.nextInt(80);
        trace.at(second, "freeze " + controller);
        trace.at(second + 3 + random.nextInt(40), "thaw " + controller);
    }

    private static void drawResetConnections(SplittableRandom random, int controllers, TraceBuilder trace) {
        String controller = RandomNames.controller(random.nextInt(controllers));
        int second = 10 + random.nextInt(60);
        trace.at(second, "reset-workers " + controller);
        trace.at(second + CONNECTION_RESET_SECONDS, "reach " + controller);
    }
}
