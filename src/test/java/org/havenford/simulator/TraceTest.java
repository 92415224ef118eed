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

/** Plays the kept traces, and some seeded runs with random troubles. */
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
                    result.world()
                            .behaviour
                            .assertKept("trace/" + file.getFileName().toString().replace(".trace", ""));
                }));
    }

    private static List<String> violations(String... trace) {
        return TracePlayer.play(List.of(trace)).violations();
    }

    /** The checker would be worth nothing if it could not fail. */
    @Test
    void theCheckerSeesATaskThatRunsTwiceAndAnExceededQuota() {
        List<String> wrong = violations(
                "team red 0 8",
                "machine large a ordinary",
                "machine large b ordinary",
                "at 3 submit j-1 red 1 8 30",
                "at 15 forge-start host-000000 j-1/0",
                "at 15 forge-start host-000001 j-1/0",
                "until 20");
        assertTrue(wrong.stream().anyMatch(violation -> violation.contains("ran_twice")), wrong::toString);
        assertTrue(wrong.stream().anyMatch(violation -> violation.contains("quota")), wrong::toString);
    }

    /** A start before the needed job is over, by a controller that is broken. */
    @Test
    void theCheckerSeesAStartThatIsTooEarly() {
        List<String> wrong = violations(
                "team red 0 0",
                "machine large a ordinary",
                "at 3 submit j-1 red 1 8 60",
                "at 5 submit j-2 red 1 1 5 awaits=j-1",
                "at 15 forge-start host-000000 j-2/0",
                "until 20");
        assertTrue(wrong.stream().anyMatch(violation -> violation.contains("too_early")), wrong::toString);
    }

    /** A user is told of a cancellation that nobody has stored: what needs the job stays pending for too long. */
    @Test
    void theCheckerSeesAnOrphanedJob() {
        List<String> wrong = violations(
                "team red 0 0",
                "machine small a ordinary",
                "at 3 submit j-1 red 1 4 200",
                "at 5 submit j-2 red 1 1 5 awaits=j-1",
                "at 10 forge-cancelled j-1",
                "until 70");
        assertTrue(wrong.stream().anyMatch(violation -> violation.contains("orphaned")), wrong::toString);
    }

    /** Jobs of one task, four a second for two minutes, a quarter of them cancelled, while a controller ends. */
    @Test
    void oneTaskJobsAreDoneAlthoughAQuarterIsCancelledAndAControllerEnds() {
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
        result.world().behaviour.assertKept("one-task-jobs");
    }

    @TestFactory
    Stream<DynamicTest> randomTroubles() {
        return RandomizedScenarios.play("troubles", 12, TroublesScenario::draw);
    }

    @TestFactory
    Stream<DynamicTest> randomTroublesWithStandby() {
        return RandomizedScenarios.play("troubles-with-standby", 12, StandbyScenario::draw);
    }

    @TestFactory
    Stream<DynamicTest> randomTroublesOfOperations() {
        return RandomizedScenarios.play("operations", 12, OperationsScenario::draw);
    }

    /** The same while the controllers come back one by one with this version, whereupon the store's limits fall. */
    @TestFactory
    Stream<DynamicTest> randomTroublesAmidAnUpgrade() {
        return RandomizedScenarios.play("upgrade", 6, seed -> UpgradeScenario.draw(seed, TroublesScenario::draw));
    }
}
