package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Runs the traces in src/test/resources/traces and randomized scenarios with faults. */
class TraceTest {
    private static final Path TRACES = Path.of("src/test/resources/traces");

    @TestFactory
    Stream<DynamicTest> keptTraces() throws IOException {
        List<Path> files = new ArrayList<>();
        try (Stream<Path> list = Files.list(TRACES)) {
            list.filter(path -> path.toString().endsWith(".trace")).sorted().forEach(files::add);
        }
        assertFalse(files.isEmpty());
        return files.stream()
                .map(file -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> {
                    TracePlayer.Result result = TracePlayer.play(Files.readAllLines(file));
                    assertEquals(List.of(), result.violations(), result::log);
                    result.simulator()
                            .behaviour
                            .assertMatchesStored(
                                    "trace/" + file.getFileName().toString().replace(".trace", ""));
                }));
    }

    private static List<String> violations(String... trace) {
        return TracePlayer.play(List.of(trace)).violations();
    }

    /** Verifies that the invariant checker reports forged attempts that run a task twice and exceed the limit of a team. */
    @Test
    void checkerReportsATaskThatRunsTwiceAndAnExceededLimit() {
        List<String> violations = violations(
                "team red 0 8",
                "machine large a ordinary",
                "machine large b ordinary",
                "at 3 submit j-1 red 1 8 30",
                "at 15 forge-start host-000000 j-1/0",
                "at 15 forge-start host-000001 j-1/0",
                "until 20");
        assertTrue(violations.stream().anyMatch(violation -> violation.contains("ran_twice")), violations::toString);
        assertTrue(violations.stream().anyMatch(violation -> violation.contains("quota")), violations::toString);
    }

    /** Forges an attempt of a task, as a defective controller would, before the job that it depends on is done. */
    @Test
    void checkerReportsAStartBeforeADependencyIsDone() {
        List<String> violations = violations(
                "team red 0 0",
                "machine large a ordinary",
                "at 3 submit j-1 red 1 8 60",
                "at 5 submit j-2 red 1 1 5 awaits=j-1",
                "at 15 forge-start host-000000 j-2/0",
                "until 20");
        assertTrue(violations.stream().anyMatch(violation -> violation.contains("too_early")), violations::toString);
    }

    /**
     * Forges the confirmation of a cancellation that is not in the store, so the dependent job stays pending for too long.
     */
    @Test
    void checkerReportsAPendingJobWhoseDependencyIsCancelled() {
        List<String> violations = violations(
                "team red 0 0",
                "machine small a ordinary",
                "at 3 submit j-1 red 1 4 200",
                "at 5 submit j-2 red 1 1 5 awaits=j-1",
                "at 10 forge-cancelled j-1",
                "until 70");
        assertTrue(violations.stream().anyMatch(violation -> violation.contains("orphaned")), violations::toString);
    }

    /**
     * Submits four single-task jobs per second for two minutes and cancels a quarter of them, while a controller crashes and
     * restarts and the store has an outage of four seconds.
     */
    @Test
    void singleTaskJobsCompleteDespiteCancellationsAndAControllerCrash() {
        List<String> lines = new ArrayList<>(List.of(
                "team red 8 40",
                "team blue 0 0",
                "machine large a ordinary",
                "machine large b ordinary",
                "machine large c ordinary",
                "at 50 crash node-0",
                "at 53 start node-0",
                "at 90 outage on",
                "at 94 outage off",
                "until 260",
                "expect served"));
        SplittableRandom random = new SplittableRandom(4);
        for (int i = 0; i < 480; i++) {
            String id = "j-" + (1000 + i);
            double at = 8 + i * 0.25;
            lines.add("at " + at + " submit " + id + " " + (i % 2 == 0 ? "red" : "blue") + " 1 1 "
                    + (2 + random.nextInt(5)));
            if (i % 4 == 3) {
                lines.add("at " + (at + 0.1 + random.nextInt(60) / 10.0) + " cancel " + id);
            } else {
                lines.add("expect done " + id);
            }
        }
        TracePlayer.Result result = TracePlayer.play(lines);
        assertEquals(List.of(), result.violations(), result::log);
        result.simulator().behaviour.assertMatchesStored("one-task-jobs");
    }

    @TestFactory
    Stream<DynamicTest> randomTroubles() {
        return RandomizedScenarios.play("troubles", 12, FaultScenario::draw);
    }

    @TestFactory
    Stream<DynamicTest> randomTroublesWithStandby() {
        return RandomizedScenarios.play("troubles-with-standby", 12, StandbyScenario::draw);
    }

    @TestFactory
    Stream<DynamicTest> randomTroublesOfOperations() {
        return RandomizedScenarios.play("operations", 12, OperationsScenario::draw);
    }

    /** Runs {@link FaultScenario} during a rolling upgrade, after which the limits of the store are lowered. */
    @TestFactory
    Stream<DynamicTest> randomTroublesAmidAnUpgrade() {
        return RandomizedScenarios.play("upgrade", 6, seed -> UpgradeScenario.draw(seed, FaultScenario::draw));
    }
}
