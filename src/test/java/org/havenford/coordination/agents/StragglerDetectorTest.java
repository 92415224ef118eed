package org.havenford.coordination.agents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests the estimates of a task's duration and the straggler coefficient. */
class StragglerDetectorTest {
    /**
     * The example of figure 4 in the paper, with its four phases reduced to two: 342 s before the run, then 20 s of a run
     * with a median of 400 s.
     */
    @Test
    void durationsAndCoefficientsMatchThePaper() {
        assertEquals(seconds(742), StragglerDetector.estimateWhileRunning(seconds(342), seconds(20), seconds(400)));
        assertEquals(seconds(410), StragglerDetector.estimateWhilePulling(seconds(3), seconds(10), seconds(400)));
        assertEquals(0.5, StragglerDetector.coefficient(seconds(50), seconds(50)));
        // With medians of 10 s and 30 s, the coefficient exceeds 0.75 once the estimate is more than three times 40 s.
        assertTrue(StragglerDetector.coefficient(
                        StragglerDetector.estimateWhilePulling(seconds(89), seconds(10), seconds(30)), seconds(40))
                < 0.75);
        assertTrue(StragglerDetector.coefficient(
                        StragglerDetector.estimateWhilePulling(seconds(91), seconds(10), seconds(30)), seconds(40))
                > 0.75);
    }

    private static Duration seconds(long seconds) {
        return Duration.ofSeconds(seconds);
    }
}
