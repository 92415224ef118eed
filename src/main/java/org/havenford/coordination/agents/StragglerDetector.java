package org.havenford.coordination.agents;

import java.time.Duration;

/**
 * The trigger of the Self-healing paper (section 4.1): a task's estimated duration against the sum of its job's phase
 * medians. The phases here are image fetch and run.
 */
public final class StragglerDetector {
    private StragglerDetector() {}

    /** p = t / (t̃ + t). */
    public static double coefficient(Duration estimate, Duration medians) {
        double t = estimate.toNanos();
        double m = medians.toNanos();
        return t + m <= 0 ? 0 : t / (m + t);
    }

    /** t of a task that is fetching its image: the larger of elapsed and median, and the median of the unbegun run. */
    public static Duration estimateFetching(Duration elapsed, Duration medianFetch, Duration medianRun) {
        return longer(elapsed, medianFetch).plus(medianRun);
    }

    /** t of a running task: its real fetch, and the larger of elapsed and median run. */
    public static Duration estimateRunning(Duration fetch, Duration elapsed, Duration medianRun) {
        return fetch.plus(longer(elapsed, medianRun));
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
