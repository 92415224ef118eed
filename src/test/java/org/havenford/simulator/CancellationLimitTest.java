package org.havenford.simulator;

import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Tests that cancelled tasks are gone in time where the cancellation limit is little more than the lease of an agent. */
class CancellationLimitTest {
    private static final int DEFAULT_SEEDS = 60;

    /** Guards against a membership lease that does not fit between the lease of an agent and the cancellation limit. */
    @TestFactory
    Stream<DynamicTest> tasksInAZoneThatIsCutOffAreGoneWithinTheCancellationLimit() {
        return RandomizedScenarios.play(
                1, Long.getLong("havenford.cancellationSeeds", DEFAULT_SEEDS), CancellationLimitScenario::draw);
    }
}
