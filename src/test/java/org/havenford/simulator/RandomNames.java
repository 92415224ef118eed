package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;

/** The names of controllers, machines, jobs and zones in randomized traces. */
final class RandomNames {
    static final int FIRST_JOB = 100;
    private static final List<String> ZONES = List.of("a", "b", "c");

    private RandomNames() {}

    static String controller(int number) {
        return "node-" + number;
    }

    static String machine(int number) {
        return String.format("host-%06d", number);
    }

    static String job(int number) {
        return "j-" + number;
    }

    static String drawZone(SplittableRandom random) {
        return ZONES.get(random.nextInt(ZONES.size()));
    }

    /** Draws one of the given numbers of controllers; a number that is listed twice is twice as likely. */
    static int drawControllers(SplittableRandom random, int... choices) {
        return choices[random.nextInt(choices.length)];
    }
}
