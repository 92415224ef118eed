package org.havenford.simulator;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws a run on 18 to 35 machines in which most jobs have placement constraints and images of various sizes, with faults
 * and delays.
 */
final class PlacementScenario {
    private static final int JOBS = 26;
    private static final int FAULTS = 10;
    private static final int DELAYS = 5;

    private PlacementScenario() {}

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
        trace.add("seed " + seed, "nodes " + controllers, "team red 32 " + (60 + random.nextInt(60)), "team blue 0 0");
        int machines = drawMachines(random, trace);
        RandomDependencies dependencies = new RandomDependencies(random, dependenciesFrom);
        for (int i = 0; i < JOBS; i++) {
            drawJob(random, trace, dependencies, RandomNames.job(RandomNames.FIRST_JOB + i));
        }
        new RandomFaults(random, trace, controllers, machines, JOBS).draw(FAULTS);
        RandomDelays.draw(random, trace, controllers, machines, DELAYS);
        if (random.nextInt(3) == 0) {
            // With a short change log, a controller that was disconnected for a while has to read all keys again.
            trace.add("keep-changes " + (20 + random.nextInt(80)));
        }
        trace.removeExpectationsOfCancelledJobs(dependencies.byJob());
        trace.add("until 600", "expect served");
        return trace.lines();
    }

    private static int drawMachines(SplittableRandom random, TraceBuilder trace) {
        int machines = 18 + random.nextInt(18);
        for (int i = 0; i < machines; i++) {
            String type = random.nextInt(3) == 0 ? "large" : "small";
            String kind = random.nextInt(3) == 0 ? "ordinary" : "spot";
            trace.add("machine " + type + " " + RandomNames.drawZone(random) + " " + kind);
        }
        return machines;
    }

    private static void drawJob(
            SplittableRandom random, TraceBuilder trace, RandomDependencies dependencies, String job) {
        int second = 3 + random.nextInt(110);
        String dependencyOption = dependencies.drawOption(job, second);
        trace.at(second, "submit " + job + " " + drawRequest(random) + dependencyOption);
        if (random.nextInt(6) == 0) {
            trace.at(second + 3 + random.nextInt(20), "cancel " + job);
        } else {
            trace.expectDone(job);
        }
    }

    /** Draws the team, size and options of a submission. Placement constraints occur alone and in combination. */
    private static String drawRequest(SplittableRandom random) {
        StringBuilder request = new StringBuilder(random.nextBoolean() ? "red" : "blue");
        int tasks = random.nextInt(6) == 0 ? 20 + random.nextInt(40) : 1 + random.nextInt(12);
        int cpus = 1 + random.nextInt(4);
        int runSeconds = 4 + random.nextInt(16);
        request.append(" ").append(tasks).append(" ").append(cpus).append(" ").append(runSeconds);
        List<String> constraints = drawConstraints(random);
        constraints.forEach(constraint -> request.append(" ").append(constraint));
        request.append(" class=")
                .append(constraints.isEmpty() ? "free" : constraints.get(0).replace('=', '-'));
        if (random.nextInt(3) > 0) {
            request.append(" image-gb=").append(2 + random.nextInt(9));
        }
        if (random.nextInt(2) == 0) {
            request.append(" due=").append(40 + random.nextInt(160));
        }
        return request.append(random.nextInt(4) == 0 ? " urgent" : "").toString();
    }

    private static List<String> drawConstraints(SplittableRandom random) {
        List<String> constraints = new ArrayList<>();
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> constraints.add("together");
            case 3, 4, 5 -> constraints.add("apart");
            case 6 -> constraints.addAll(List.of("together", "apart"));
            default -> {
                // No constraint on how the tasks are spread over zones.
            }
        }
        if (random.nextInt(5) == 0) {
            constraints.add("zone=" + RandomNames.drawZone(random));
        }
        if (random.nextInt(4) == 0) {
            constraints.add("types=" + (random.nextBoolean() ? "large" : "small"));
        }
        if (random.nextInt(4) == 0) {
            constraints.add("ordinary");
        }
        return constraints;
    }
}
