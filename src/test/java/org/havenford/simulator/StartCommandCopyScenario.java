package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws a run in which copies of direct commands, which were carried out and answered before, arrive seconds to minutes
 * later, while their tasks are cancelled, moved to other machines or done, and machines and controllers are back within a
 * second.
 */
final class StartCommandCopyScenario {
    private static final int MACHINES = 5;
    private static final int JOBS = 10;
    private static final int FIRST_SECOND = 8;
    private static final int SPREAD_SECONDS = 40;
    /** Longer than the lease of an agent and the cancellation limit together. */
    private static final int MAX_DELAY_SECONDS = 80;

    private StartCommandCopyScenario() {}

    static List<String> draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int controllers = RandomNames.drawControllers(random, 3, 3, 5, 7);
        TraceBuilder trace = new TraceBuilder();
        trace.add("seed " + seed, "nodes " + controllers, "team red 0 0");
        for (int i = 0; i < MACHINES; i++) {
            trace.add("machine large " + RandomNames.drawZone(random) + " ordinary");
        }
        for (int i = 0; i < MACHINES; i++) {
            drawMachine(random, trace, RandomNames.machine(i));
        }
        for (int i = 0; i < JOBS; i++) {
            drawJob(random, trace, RandomNames.job(RandomNames.FIRST_JOB + i));
        }
        if (random.nextBoolean()) {
            drawCrashes(random, trace, controllers);
        }
        trace.add("until 300");
        return trace.lines();
    }

    private static void drawMachine(SplittableRandom random, TraceBuilder trace, String machine) {
        int delay = 1 + random.nextInt(random.nextBoolean() ? 15 : MAX_DELAY_SECONDS);
        trace.at(0, "copied-commands " + machine + " " + delay);
        int faultAt = FIRST_SECOND + random.nextInt(SPREAD_SECONDS);
        switch (random.nextInt(7)) {
            case 0 -> trace.at(faultAt, "reboot " + machine);
            case 1 -> trace.at(faultAt, "reboot-blank " + machine);
            // Each task that starts there fails and is moved.
            case 2 -> trace.at(faultAt, "faulty " + machine);
            // All tasks are stopped and moved.
            case 3, 4 -> trace.at(faultAt, "notice " + machine + " 10");
            case 5 -> {
                trace.at(faultAt, "mute " + machine);
                trace.at(faultAt + 2 + random.nextInt(30), "speaks " + machine);
            }
            default -> {
                // Undisturbed.
            }
        }
    }

    private static void drawJob(SplittableRandom random, TraceBuilder trace, String job) {
        int submittedAt = FIRST_SECOND + random.nextInt(SPREAD_SECONDS);
        String options = " image-gb=0.1" + (random.nextInt(3) == 0 ? " urgent" : " low");
        trace.at(
                submittedAt,
                "submit " + job + " red " + (1 + random.nextInt(6)) + " 4 " + (20 + random.nextInt(60)) + options);
        if (random.nextInt(2) > 0) {
            trace.at(submittedAt + random.nextInt(200) / 10.0, "cancel " + job);
        }
    }

    private static void drawCrashes(SplittableRandom random, TraceBuilder trace, int controllers) {
        for (int i = 0; i < 3; i++) {
            String controller = RandomNames.controller(random.nextInt(controllers));
            int second = FIRST_SECOND + random.nextInt(SPREAD_SECONDS);
            trace.at(second, "crash " + controller);
            trace.at(second, 1 + random.nextInt(9), "start " + controller);
        }
    }
}
