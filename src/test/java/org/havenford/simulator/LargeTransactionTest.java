package org.havenford.simulator;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests that the store refuses no transaction for its size when a job with many dependents ends. The simulated store fails
 * the run if a transaction exceeds its limits.
 */
class LargeTransactionTest {
    /** As many of the longest ids as fit into the largest header. */
    private static final int NAMED_JOBS = 160;

    private static final String LAST = id(NAMED_JOBS);

    /** Returns a job id of the greatest length. */
    private static String id(int number) {
        return String.format("j-%040d", number);
    }

    private static List<String> pipelineOf(int dependents) {
        List<String> lines = new ArrayList<>(List.of(
                "team red 0 0", "machine large a ordinary", "machine large b ordinary", "machine large c ordinary"));
        List<String> named = IntStream.range(0, NAMED_JOBS)
                .mapToObj(LargeTransactionTest::id)
                .toList();
        for (int i = 0; i < NAMED_JOBS; i++) {
            lines.add("at " + (5 + i * 0.1) + " submit " + named.get(i) + " red 1 0.25 1 image-gb=0.1");
        }
        lines.add("at 30 submit " + LAST + " red 1 0.25 10 image-gb=0.1");
        String awaits = " awaits=" + String.join(",", named) + "," + LAST;
        for (int i = 1; i <= dependents; i++) {
            lines.add("at 35 submit " + id(NAMED_JOBS + i) + " red 1 0.25 2 image-gb=0.1" + awaits);
        }
        return lines;
    }

    /** Guards against the end of a job that takes along more bytes of released headers than a transaction may have. */
    @Test
    void aJobThatManyWideJobsAwaitIsDoneInTime() {
        List<String> lines = pipelineOf(9);
        lines.add("until 90");
        lines.add("expect done-by " + LAST + " 46");
        for (int i = 1; i <= 9; i++) {
            lines.add("expect done-by " + id(NAMED_JOBS + i) + " 60");
        }
        RandomizedScenarios.assertNoViolations(lines);
    }

    @Test
    void aCancellationThatManyWideJobsAwaitTakesAllOfThemAlong() {
        List<String> lines = pipelineOf(40);
        lines.add("at 36 cancel " + LAST);
        lines.add("until 90");
        for (int i = 1; i <= 40; i++) {
            lines.add("expect taken-along " + id(NAMED_JOBS + i));
        }
        RandomizedScenarios.assertNoViolations(lines);
    }
}
