package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Tests that commands and requests to the cloud which are carried out late or twice break no rule and leave no task unclaimed. */
class LateMessagesTest {
    private static final int DEFAULT_SEEDS = 60;

    @TestFactory
    Stream<DynamicTest> lateStartCommandsRunNoTaskAfterItsCancellationLimit() {
        return play(LateCommandScenario::draw);
    }

    @TestFactory
    Stream<DynamicTest> lateCloudRequestsLeaveNoTaskThatNoControllerKnowsOf() {
        return play(LateCloudRequestScenario::draw);
    }

    private static Stream<DynamicTest> play(LongFunction<List<String>> scenario) {
        long first = Long.getLong("havenford.firstSeed", 1);
        return LongStream.range(first, first + Integer.getInteger("havenford.lateSeeds", DEFAULT_SEEDS))
                .mapToObj(seed -> DynamicTest.dynamicTest("seed " + seed, () -> {
                    List<String> lines = scenario.apply(seed);
                    TracePlayer.Result result = TracePlayer.play(lines);
                    assertEquals(
                            List.of(), result.violations(), () -> String.join("\n", lines) + "\n--\n" + result.log());
                }));
    }
}
