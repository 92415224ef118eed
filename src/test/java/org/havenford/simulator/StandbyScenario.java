package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Extends {@link FaultScenario} with network partitions between controllers and process pauses, while all controllers, or
 * all but one, run a warm standby.
 */
final class StandbyScenario {
    private static final int SEED_OFFSET = 11;
    private static final int PARTITIONS = 4;
    private static final int PAUSES = 2;

    private StandbyScenario() {}

    static List<String> draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed + SEED_OFFSET);
        int controllers = RandomNames.drawControllers(random, 3, 3, 5, 7);
        TraceBuilder trace = new TraceBuilder();
        trace.add("standby on");
        if (random.nextInt(3) == 0) {
            trace.add("standby-off " + drawController(random, controllers));
        }
        for (int i = 0; i < PARTITIONS; i++) {
            drawPartition(random, controllers, trace);
        }
        for (int i = 0; i < PAUSES; i++) {
            String controller = drawController(random, controllers);
            int second = 10 + random.nextInt(90);
            trace.at(second, "freeze " + controller);
            trace.at(second + 1 + random.nextInt(12), "thaw " + controller);
        }
        trace.addAll(FaultScenario.draw(seed, controllers, 0));
        return trace.lines();
    }

    private static void drawPartition(SplittableRandom random, int controllers, TraceBuilder trace) {
        String one = drawController(random, controllers);
        String other = drawController(random, controllers);
        int second = 10 + random.nextInt(90);
        int end = second + 1 + random.nextInt(25);
        boolean oneWay = random.nextBoolean();
        if (one.equals(other)) {
            return;
        }
        if (oneWay) {
            trace.at(second, "cut-peer " + one + " " + other);
            trace.at(end, "heal-peer " + one + " " + other);
        } else {
            trace.at(second, "cut " + one + " " + other + (random.nextBoolean() ? " drop" : " reset"));
            trace.at(end, "heal " + one + " " + other);
        }
    }

    private static String drawController(SplittableRandom random, int controllers) {
        return RandomNames.controller(random.nextInt(controllers));
    }
}
