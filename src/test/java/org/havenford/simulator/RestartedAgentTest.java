package org.havenford.simulator;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Tests that the leases of agents which restart unnoticed are not taken to have expired while they still run tasks. */
class RestartedAgentTest {
    private static final int DEFAULT_SEEDS = 200;

    @Test
    void aTaskOfAMuteAgentThatRestartedDoesNotRunTwice() {
        RandomizedScenarios.assertNoViolations(List.of(
                "team red 0 0",
                "machine small a ordinary",
                "machine large b ordinary",
                "at 11 mute host-000000",
                "at 14.5 reboot host-000000",
                "at 14.6 submit j-1 red 1 4 60 image-gb=0.1",
                "at 70 speaks host-000000",
                "until 200",
                "expect done j-1"));
    }

    @TestFactory
    Stream<DynamicTest> noTaskRunsTwiceWhenMuteAgentsRestartAtDrawnMoments() {
        return RandomizedScenarios.play(
                1, Long.getLong("havenford.restartSeeds", DEFAULT_SEEDS), RestartedAgentScenario::draw);
    }
}
