package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Tests that commands and requests to the cloud which are carried out late or twice break no rule and leave no task unclaimed. */
class LateMessagesTest {
    private static final int DEFAULT_SEEDS = 60;
    private static final int RESTART_SEEDS = 20;

    @TestFactory
    Stream<DynamicTest> lateStartCommandsRunNoTaskAfterItsCancellationLimit() {
        return play(LateCommandScenario::draw);
    }

    /** Guards against an agent that starts a task again on a copy of a command which it had carried out and answered before. */
    @TestFactory
    Stream<DynamicTest> copiesOfStartCommandsStartNoTaskThatWasMovedOrCancelled() {
        return play(StartCommandCopyScenario::draw);
    }

    /**
     * Guards against a copy of a start command that reaches an agent which has lost its tasks and its fencing token, but not
     * its incarnation, after the task was moved. See docs/questions.md.
     */
    @Test
    @Tag("known-red")
    void aCopyStartsNothingOnAnAgentThatLostItsTasksWithinItsIncarnation() {
        List<String> broken = new ArrayList<>();
        for (int seed = 1; seed <= RESTART_SEEDS; seed++) {
            broken.addAll(TracePlayer.play(List.of(
                            "seed " + seed,
                            "team red 0 0",
                            "machine large a ordinary",
                            "machine large b ordinary",
                            "at 0 copied-commands host-000000 25",
                            "at 0 copied-commands host-000001 25",
                            "at 8 submit j-1 red 1 9 100 image-gb=0.1",
                            "at 15 notice host-000000 10",
                            "at 16 notice host-000001 10",
                            "at 33.04 restart-same-session host-000000",
                            "at 33.04 restart-same-session host-000001",
                            "until 90"))
                    .violations());
        }
        assertEquals(List.of(), broken);
    }

    @TestFactory
    Stream<DynamicTest> lateCloudRequestsLeaveNoTaskThatNoControllerKnowsOf() {
        return play(LateCloudRequestScenario::draw);
    }

    private static Stream<DynamicTest> play(LongFunction<List<String>> scenario) {
        long first = Long.getLong("havenford.firstSeed", 1);
        return RandomizedScenarios.play(first, Long.getLong("havenford.lateSeeds", DEFAULT_SEEDS), scenario);
    }
}
