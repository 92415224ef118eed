package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;

/** Draws a run on four machines with jobs of two teams, some of them cancelled, and with faults of all kinds. */
final class FaultScenario {
    private static final int MACHINES = 4;
    private static final int JOBS = 14;
    private static final int FAULTS = 6;

    private FaultScenario() {}

    /** Draws a trace, including the number of controllers. */
    static List<String> draw(long seed) {
        return draw(seed, RandomNames.drawControllers(new SplittableRandom(seed), 3, 3, 5, 7), 0);
    }

    /** Draws a trace. Jobs submitted at or before the second {@code dependenciesFrom} have no dependencies. */
    static List<String> draw(long seed, int controllers, int dependenciesFrom) {
        SplittableRandom random = new SplittableRandom(seed);
        // Skips the first number of the sequence, with which the other overload selects the number of controllers.
        random.nextInt(4);
        TraceBuilder trace = new TraceBuilder();
        trace.add(
                "seed " + seed,
                "nodes " + controllers,
                "team red 16 40",
                "team blue 0 0",
                "machine large a ordinary",
                "machine small b ordinary",
                "machine large c spot",
                "machine small a spot");
        RandomDependencies dependencies = new RandomDependencies(random, dependenciesFrom);
        for (int i = 0; i < JOBS; i++) {
            drawJob(random, trace, dependencies, RandomNames.job(RandomNames.FIRST_JOB + i));
        }
        new RandomFaults(random, trace, controllers, MACHINES, JOBS).draw(FAULTS);
        trace.removeExpectationsOfCancelledJobs(dependencies.byJob());
        trace.add("until 480", "expect served");
        return trace.lines();
    }

    private static void drawJob(
            SplittableRandom random, TraceBuilder trace, RandomDependencies dependencies, String job) {
        int second = 3 + random.nextInt(90);
        String dependencyOption = dependencies.drawOption(job, second);
        String team = random.nextBoolean() ? "red" : "blue";
        int tasks = 1 + random.nextInt(8);
        int cpus = 1 + random.nextInt(4);
        int runSeconds = 5 + random.nextInt(20);
        String apart = random.nextInt(4) == 0 ? " apart" : "";
        String ordinary = random.nextInt(4) == 0 ? " ordinary" : "";
        trace.at(
                second,
                "submit " + job + " " + team + " " + tasks + " " + cpus + " " + runSeconds + apart + ordinary
                        + dependencyOption);
        if (random.nextInt(4) == 0) {
            trace.at(second + 3 + random.nextInt(20), "cancel " + job);
        } else {
            trace.expectDone(job);
        }
    }
}
