package org.havenford.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Draws the dependencies of the jobs of one trace. A job depends only on jobs that were probably accepted before it. */
final class RandomDependencies {
    /** The time within which a submission is accepted if the controllers are reachable. */
    private static final int ACCEPTED_WITHIN_SECONDS = 4;

    private final SplittableRandom random;
    private final int dependenciesFrom;
    private final Map<String, Integer> submittedAt = new TreeMap<>();
    private final Map<String, List<String>> dependencies = new HashMap<>();

    /**
     * Creates a generator for one trace. Jobs submitted at or before the second {@code dependenciesFrom} have no
     * dependencies.
     */
    RandomDependencies(SplittableRandom random, int dependenciesFrom) {
        this.random = random;
        this.dependenciesFrom = dependenciesFrom;
    }

    /**
     * Draws the dependencies of a job and returns them as a submission option with a leading space, or an empty string if
     * it has none.
     */
    String drawOption(String job, int second) {
        List<String> drawn = draw(second);
        if (second <= dependenciesFrom) {
            drawn.clear();
        }
        submittedAt.put(job, second);
        dependencies.put(job, drawn);
        return drawn.isEmpty() ? "" : " awaits=" + String.join(",", drawn);
    }

    private List<String> draw(int second) {
        List<String> earlier = submittedAt.entrySet().stream()
                .filter(job -> job.getValue() + ACCEPTED_WITHIN_SECONDS < second)
                .map(Map.Entry::getKey)
                .toList();
        List<String> drawn = new ArrayList<>();
        int count = earlier.isEmpty() || random.nextInt(3) > 0 ? 0 : 1 + random.nextInt(2);
        for (int i = 0; i < count; i++) {
            drawn.add(earlier.get(random.nextInt(earlier.size())));
        }
        return drawn;
    }

    /** Returns the direct dependencies of each job, by job id. */
    Map<String, List<String>> byJob() {
        return dependencies;
    }
}
