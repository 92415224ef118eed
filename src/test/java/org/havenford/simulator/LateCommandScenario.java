package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws a run in which direct commands are held up for seconds to minutes while their jobs are cancelled, with the
 * controllers unchanged or crashing, and the machines rebooting, hanging, mute or undisturbed meanwhile.
 */
final class LateCommandScenario {
    private static final int MACHINES = 4;
    private static final int JOBS = 8;
    private static final int FIRST_SECOND = 8;
    private static final int SPREAD_SECONDS = 40;
    /** Longer than the cancellation limit of 44 s and the lease of 20 s together. */
    private static final int MAX_DELAY_SECONDS = 150;

    private LateCommandScenario() {}

    static List<String> draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int controllers = RandomNames.drawControllers(random, 3, 3, 5, 7);
        TraceBuilder trace = new TraceBuilder();
        trace.add("seed " + seed, "nodes " + controllers, "team red 0 24");
        if (random.nextInt(3) == 0) {
            trace.add("standby on");
        }
        trace.add("machine large a ordinary", "machine small b ordinary");
        trace.add("machine small c ordinary", "machine small a ordinary");
        trace.at(0, "check-claims on");
        for (int i = 0; i < MACHINES; i++) {
            drawDelayAndFault(random, trace, RandomNames.machine(i));
        }
        for (int i = 0; i < JOBS; i++) {
            drawJob(random, trace, RandomNames.job(RandomNames.FIRST_JOB + i));
        }
        if (random.nextBoolean()) {
            drawCrash(random, trace, controllers);
        }
        trace.add("until 320");
        return trace.lines();
    }

    private static void drawDelayAndFault(SplittableRandom random, TraceBuilder trace, String machine) {
        int start = FIRST_SECOND + random.nextInt(4);
        int delay = 1 + random.nextInt(random.nextBoolean() ? 12 : MAX_DELAY_SECONDS);
        trace.at(start, "late-commands " + machine + " " + delay);
        trace.at(start + SPREAD_SECONDS, "late-commands " + machine + " 0");
        int faultAt = start + random.nextInt(SPREAD_SECONDS);
        int duration = 1 + random.nextInt(30);
        switch (random.nextInt(4)) {
            case 0 -> trace.at(faultAt, "reboot " + machine);
            case 1 -> {
                trace.at(faultAt, "hang " + machine);
                trace.at(faultAt + duration, "wake " + machine);
            }
            case 2 -> {
                trace.at(faultAt, "mute " + machine);
                trace.at(faultAt + 1 + random.nextInt(5), "reboot " + machine);
                trace.at(faultAt + duration + 5, "speaks " + machine);
            }
            default -> {
                // No further fault.
            }
        }
    }

    private static void drawJob(SplittableRandom random, TraceBuilder trace, String job) {
        int submittedAt = FIRST_SECOND + random.nextInt(SPREAD_SECONDS);
        trace.at(submittedAt, "submit " + job + " red " + (1 + random.nextInt(3)) + " 4 " + (20 + random.nextInt(60)));
        if (random.nextInt(4) > 0) {
            trace.at(submittedAt + random.nextInt(60) / 10.0, "cancel " + job);
        }
    }

    private static void drawCrash(SplittableRandom random, TraceBuilder trace, int controllers) {
        for (int i = 0; i < 2; i++) {
            String controller = RandomNames.controller(random.nextInt(controllers));
            int second = FIRST_SECOND + random.nextInt(SPREAD_SECONDS);
            trace.at(second, "crash " + controller);
            trace.at(second, 1 + random.nextInt(9), "start " + controller);
        }
    }
}
