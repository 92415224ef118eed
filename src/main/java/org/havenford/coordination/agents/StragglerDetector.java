package org.havenford.coordination.agents;

import java.time.Duration;

/**
 * The straggler criterion of the Self-healing paper (section 4.1), which compares a task's estimated duration with the
 * sum of the median durations of the phases of its job. The phases here are image pull and run.
 */
public final class StragglerDetector {
    private StragglerDetector() {}

    /** Returns the coefficient p = t / (m + t) of an estimate t and a sum of medians m, or 0 if both are 0. */
    public static double coefficient(Duration estimate, Duration medians) {
        double t = estimate.toNanos();
        double m = medians.toNanos();
        return t + m <= 0 ? 0 : t / (m + t);
    }

    /** Estimates the duration of a task that pulls its image: the longer of elapsed and median pull, plus the median run. */
    public static Duration estimateWhilePulling(Duration elapsed, Duration medianPull, Duration medianRun) {
        return longer(elapsed, medianPull).plus(medianRun);
    }

    /** Estimates the duration of a running task: its actual pull, plus the longer of elapsed and median run. */
    public static Duration estimateWhileRunning(Duration pull, Duration elapsed, Duration medianRun) {
        return pull.plus(longer(elapsed, medianRun));
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
