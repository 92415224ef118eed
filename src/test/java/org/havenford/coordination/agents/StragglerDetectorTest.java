package org.havenford.coordination.agents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Estimates of a task's duration, and from which coefficient on it counts as a straggler. */
class StragglerDetectorTest {
    /** The example of the paper's figure 4, its four phases read as two: 342 s before the run, then 20 s of a median of 400. */
    @Test
    void remainingTimeIsEstimatedAsInThePaper() {
        assertEquals(seconds(742), StragglerDetector.estimateRunning(seconds(342), seconds(20), seconds(400)));
        assertEquals(seconds(410), StragglerDetector.estimatePulling(seconds(3), seconds(10), seconds(400)));
        assertEquals(0.5, StragglerDetector.coefficient(seconds(50), seconds(50)));
        // With a median of 10 + 30, a fetch is late once t is more than three times 40.
        assertTrue(StragglerDetector.coefficient(
                        StragglerDetector.estimatePulling(seconds(89), seconds(10), seconds(30)), seconds(40))
                < 0.75);
        assertTrue(StragglerDetector.coefficient(
                        StragglerDetector.estimatePulling(seconds(91), seconds(10), seconds(30)), seconds(40))
                > 0.75);
    }

    private static Duration seconds(long seconds) {
        return Duration.ofSeconds(seconds);
    }
}
