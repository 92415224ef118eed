package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Tests that cancelled tasks are gone in time where the cancellation limit is little more than the lease of an agent. */
class CancellationLimitTest {
    private static final int DEFAULT_SEEDS = 60;

    /** Guards against a membership lease that does not fit between the lease of an agent and the cancellation limit. */
    @TestFactory
    Stream<DynamicTest> tasksInAZoneThatIsCutOffAreGoneWithinTheCancellationLimit() {
        return LongStream.rangeClosed(1, Long.getLong("havenford.cancellationSeeds", DEFAULT_SEEDS))
                .mapToObj(seed -> DynamicTest.dynamicTest("seed " + seed, () -> {
                    List<String> lines = CancellationLimitScenario.draw(seed);
                    TracePlayer.Result result = TracePlayer.play(lines);
                    assertEquals(
                            List.of(), result.violations(), () -> String.join("\n", lines) + "\n--\n" + result.log());
                }));
    }
}
