package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws a run in which requests to launch and to return machines are carried out late or twice, while controllers crash
 * and machines boot within a second or reboot.
 */
final class LateCloudRequestScenario {
    private static final int JOBS = 10;
    private static final int BURSTS = 4;
    private static final int LAST_SUBMISSION = 150;

    private LateCloudRequestScenario() {}

    static List<String> draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int controllers = RandomNames.drawControllers(random, 3, 3, 5, 7);
        TraceBuilder trace = new TraceBuilder();
        trace.add("seed " + seed, "nodes " + controllers, "team red 0 0");
        trace.add("machine large a ordinary", "machine small b spot");
        trace.at(0, "check-claims on");
        if (random.nextBoolean()) {
            trace.at(0, "boots 1");
        }
        for (int i = 0; i < BURSTS; i++) {
            int second = 5 + random.nextInt(LAST_SUBMISSION);
            trace.at(second, "late-cloud-requests " + (1 + random.nextInt(4)) + " " + (1 + random.nextInt(60)));
        }
        String repeating = RandomNames.controller(random.nextInt(controllers));
        int repeatsFrom = 5 + random.nextInt(60);
        trace.at(repeatsFrom, "repeats " + repeating + " " + (1 + random.nextInt(40)));
        trace.at(repeatsFrom + 60, "no-repeats " + repeating);
        for (int i = 0; i < JOBS; i++) {
            int submittedAt = 3 + random.nextInt(LAST_SUBMISSION);
            String job = RandomNames.job(RandomNames.FIRST_JOB + i);
            int tasks = 1 + random.nextInt(8);
            trace.at(submittedAt, "submit " + job + " red " + tasks + " 4 " + (5 + random.nextInt(30)));
            trace.expectDone(job);
        }
        for (int i = 0; i < 3; i++) {
            String controller = RandomNames.controller(random.nextInt(controllers));
            int second = 5 + random.nextInt(LAST_SUBMISSION);
            trace.at(second, "crash " + controller);
            trace.at(second, 1 + random.nextInt(9), "start " + controller);
            trace.at(5 + random.nextInt(LAST_SUBMISSION), "reboot " + RandomNames.machine(random.nextInt(2)));
        }
        trace.add("until 500");
        return trace.lines();
    }
}
