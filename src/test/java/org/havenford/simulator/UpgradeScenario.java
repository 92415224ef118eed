package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Another scenario while the controllers restart one by one with this version, whereupon the store's limits fall. Nothing new
 * is asked of the service before all controllers have this version.
 */
final class UpgradeScenario {
    /** Draws a scenario for a number of controllers whose jobs depend on others only after a second of the run. */
    @FunctionalInterface
    interface Amid {
        List<String> draw(long seed, int controllers, int dependenciesFrom);
    }

    private UpgradeScenario() {}

    /** Draws the upgrade, and what goes on meanwhile. */
    static List<String> draw(long seed, Amid scenario) {
        SplittableRandom random = new SplittableRandom(-seed);
        int controllers = RandomNames.drawControllers(random, 3, 5, 7);
        TraceBuilder trace = new TraceBuilder();
        int end = drawUpgrade(random, controllers, trace);
        trace.addAll(scenario.draw(seed, controllers, end));
        return trace.lines();
    }

    /** Returns the second after which all controllers have this version. */
    private static int drawUpgrade(SplittableRandom random, int controllers, TraceBuilder trace) {
        trace.add("version format-1", "next 2 4 75");
        int second = 6 + random.nextInt(6);
        for (int number = 0; number < controllers; number++) {
            trace.at(second, "upgrade " + RandomNames.controller(number));
            trace.at(second, 3 + random.nextInt(6), "start " + RandomNames.controller(number));
            second += 2 + random.nextInt(5);
        }
        trace.at(second + 2 + random.nextInt(20), "lower-limits");
        return second;
    }
}
