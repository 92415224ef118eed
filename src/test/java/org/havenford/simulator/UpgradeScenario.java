package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Runs another scenario during a rolling upgrade: the controllers start with storage format 1 and restart one by one with
 * this version, then the limits of the store are lowered. Job dependencies, which format 1 does not have, are drawn only for
 * jobs submitted after the last upgrade.
 */
final class UpgradeScenario {
    /** A scenario for a given number of controllers, in which only jobs submitted after a given second have dependencies. */
    @FunctionalInterface
    interface BaseScenario {
        List<String> draw(long seed, int controllers, int dependenciesFrom);
    }

    private UpgradeScenario() {}

    /** Draws the upgrade and, from the same seed, the scenario that runs at the same time. */
    static List<String> draw(long seed, BaseScenario scenario) {
        SplittableRandom random = new SplittableRandom(-seed);
        int controllers = RandomNames.drawControllers(random, 3, 5, 7);
        TraceBuilder trace = new TraceBuilder();
        int end = drawUpgrade(random, controllers, trace);
        trace.addAll(scenario.draw(seed, controllers, end));
        return trace.lines();
    }

    /** Draws the upgrade of all controllers and returns the second after which all of them run this version. */
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
