package org.havenford.simulator;

import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Tests that a late copy of the registration of a former incarnation does not let a running owner be taken for gone. */
class RepeatedRegistrationTest {
    private static final int DEFAULT_SEEDS = 60;

    /** Guards against a task on two machines when a repeated registration expires before the lease of the running incarnation. */
    @TestFactory
    Stream<DynamicTest> noTaskRunsTwiceWhenARepeatedRegistrationExpires() {
        return RandomizedScenarios.play(
                1, Long.getLong("havenford.registrationSeeds", DEFAULT_SEEDS), RepeatedRegistrationScenario::draw);
    }
}
