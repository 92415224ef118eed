package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Tests that the checker detects violations of all five placement constraints, and runs scenarios in which most jobs have
 * some.
 */
class PlacementTest {
    /**
     * Returns the placement violations reported when a defective controller starts tasks of one job on the given machines.
     */
    private static List<String> placementViolations(String job, String... machines) {
        List<String> lines = new ArrayList<>(List.of(
                "team red 0 0",
                // The run ends before an agent can have pulled the image (2 s), so only the forged attempts start.
                "machine small a ordinary",
                "machine large b ordinary",
                "machine small a spot",
                "machine small b ordinary",
                "at 3 submit j-1 red " + job));
        for (int i = 0; i < machines.length; i++) {
            lines.add("at 3 forge-start " + machines[i] + " j-1/" + i);
        }
        lines.add("until 3.1");
        return TracePlayer.play(lines).violations().stream()
                .filter(violation -> violation.contains("wrong_place"))
                .toList();
    }

    private static void assertOneViolation(String constraint, List<String> violations) {
        assertEquals(1, violations.size(), violations::toString);
        assertTrue(violations.get(0).contains("wrong_place: " + constraint + ": "), violations::toString);
    }

    @Test
    void checkerReportsAMachineTypeThatIsNotAllowed() {
        assertOneViolation("type", placementViolations("1 1 30 types=large", "host-000000"));
        assertEquals(List.of(), placementViolations("1 1 30 types=large", "host-000001"));
    }

    @Test
    void checkerReportsAZoneThatIsNotAllowed() {
        assertOneViolation("zone", placementViolations("1 1 30 zone=b", "host-000000"));
        assertEquals(List.of(), placementViolations("1 1 30 zone=b", "host-000001"));
    }

    @Test
    void checkerReportsASpotMachineThatIsNotAllowed() {
        assertOneViolation("kind", placementViolations("1 1 30 ordinary", "host-000002"));
        assertEquals(List.of(), placementViolations("1 1 30 ordinary", "host-000000"));
    }

    @Test
    void checkerReportsTasksInTwoZonesThatMustStayTogether() {
        assertOneViolation(
                "together", placementViolations("3 1 30 together", "host-000001", "host-000003", "host-000000"));
        assertEquals(List.of(), placementViolations("3 1 30 together", "host-000001", "host-000003", "host-000003"));
    }

    @Test
    void checkerReportsTooManyTasksInOneZoneThatMustStayApart() {
        assertOneViolation("apart", placementViolations("3 1 30 apart", "host-000001", "host-000003", "host-000003"));
        assertEquals(List.of(), placementViolations("3 1 30 apart", "host-000001", "host-000003", "host-000000"));
    }

    @TestFactory
    Stream<DynamicTest> constrainedJobsAmidTroubles() {
        return RandomizedScenarios.play("placements", 12, PlacementScenario::draw);
    }

    @TestFactory
    Stream<DynamicTest> constrainedJobsAmidAnUpgrade() {
        return RandomizedScenarios.play(
                "placements-amid-an-upgrade", 6, seed -> UpgradeScenario.draw(seed, PlacementScenario::draw));
    }
}
