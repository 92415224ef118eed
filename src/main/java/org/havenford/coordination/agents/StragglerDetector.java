package org.havenford.coordination.agents;

import java.time.Duration;

/**
 * The trigger of the Self-healing paper (section 4.1): a task's estimated duration against the sum of its job's phase
 * medians. The phases here are image pull and run.
 */
public final class StragglerDetector {
    private StragglerDetector() {}

    /** The coefficient p = t / (m + t) of an estimate t and a sum m of medians; 0 if both are 0. */
    public static double coefficient(Duration estimate, Duration medians) {
        double t = estimate.toNanos();
        double m = medians.toNanos();
        return t + m <= 0 ? 0 : t / (m + t);
    }

    /** The estimate for a task that pulls its image: the longer of elapsed and median pull, and the median of the run. */
    public static Duration estimatePulling(Duration elapsed, Duration medianPull, Duration medianRun) {
        return longer(elapsed, medianPull).plus(medianRun);
    }

    /** The estimate for a running task: its real pull, and the longer of elapsed and median run. */
    public static Duration estimateRunning(Duration pull, Duration elapsed, Duration medianRun) {
        return pull.plus(longer(elapsed, medianRun));
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
