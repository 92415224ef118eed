package org.havenford.simulator;

import java.util.SplittableRandom;

/** Generates random message faults of a trace: late commands, late watch replies, lost replies and duplicated requests. */
final class RandomDelays {
    private static final int FIRST_SECOND = 10;

    private RandomDelays() {}

    /** Adds {@code count} random faults to the trace, in order of their start. */
    static void draw(SplittableRandom random, TraceBuilder trace, int controllers, int machines, int count) {
        int second = FIRST_SECOND;
        for (int i = 0; i < count; i++) {
            second += 2 + random.nextInt(24);
            String controller = RandomNames.controller(random.nextInt(controllers));
            String machine = RandomNames.machine(random.nextInt(machines));
            int end = second + 5 + random.nextInt(30);
            double delay = (1 + random.nextInt(160)) / 10.0;
            switch (random.nextInt(4)) {
                case 0 -> {
                    trace.at(second, "late-commands " + machine + " " + delay);
                    trace.at(end, "late-commands " + machine + " 0");
                }
                case 1 -> {
                    trace.at(second, "late-changes " + controller + " " + delay);
                    trace.at(end, "late-changes " + controller + " 0");
                }
                case 2 -> trace.at(second, "lost-answers " + (1 + random.nextInt(5)));
                default -> {
                    trace.at(second, "repeats " + controller + " " + delay);
                    trace.at(end, "no-repeats " + controller);
                }
            }
        }
    }
}
