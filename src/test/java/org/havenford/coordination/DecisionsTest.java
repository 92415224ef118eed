package org.havenford.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.TreeMap;
import java.util.TreeSet;
import org.havenford.coordination.agents.StragglerDetector;
import org.havenford.settings.OperatorSettings;
import org.havenford.storage.records.ClusterView;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DecisionsTest {
    private static Duration s(long seconds) {
        return Duration.ofSeconds(seconds);
    }

    /** The example of the paper's figure 4, its four phases read as two: 342 s before the run, then 20 s of a median of 400. */
    @Test
    void estimatesFollowThePaper() {
        assertEquals(s(742), StragglerDetector.estimateRunning(s(342), s(20), s(400)));
        assertEquals(s(410), StragglerDetector.estimatePulling(s(3), s(10), s(400)));
        assertEquals(0.5, StragglerDetector.coefficient(s(50), s(50)));
        // With a median of 10 + 30, a fetch is late once t is more than three times 40.
        assertTrue(StragglerDetector.coefficient(StragglerDetector.estimatePulling(s(89), s(10), s(30)), s(40)) < 0.75);
        assertTrue(StragglerDetector.coefficient(StragglerDetector.estimatePulling(s(91), s(10), s(30)), s(40)) > 0.75);
    }

    /** When a member goes, only its machines move. */
    @Test
    void rendezvousMovesOnlyWhatItMust() {
        TreeMap<String, Long> three = new TreeMap<>(java.util.Map.of("a", 1L, "b", 2L, "c", 3L));
        TreeMap<String, Long> two = new TreeMap<>(java.util.Map.of("a", 1L, "b", 2L));
        ClusterView before = new ClusterView(1, three, new TreeMap<>(), new TreeSet<>());
        ClusterView after = new ClusterView(2, two, new TreeMap<>(), new TreeSet<>());
        int moved = 0;
        for (int i = 0; i < 300; i++) {
            String m = String.format("host-%06d", i);
            if (before.owner(m).equals("c")) {
                moved++;
            } else {
                assertEquals(before.owner(m), after.owner(m));
            }
        }
        assertTrue(moved > 60 && moved < 140, moved + " of 300");
    }

    @Test
    void aMovedMachineGoesBackWhenItsNodeLeaves() {
        TreeMap<String, String> moved = new TreeMap<>(java.util.Map.of("host-1", "b"));
        assertEquals(
                "b",
                new ClusterView(1, new TreeMap<>(java.util.Map.of("a", 1L, "b", 2L)), moved, new TreeSet<>())
                        .owner("host-1"));
        assertEquals(
                "a",
                new ClusterView(2, new TreeMap<>(java.util.Map.of("a", 1L)), moved, new TreeSet<>()).owner("host-1"));
    }

    @Test
    void operatorsSettingsAreChecked(@TempDir Path dir) throws Exception {
        OperatorSettings o = OperatorSettings.read(
                write(dir, "<havenford><late-threshold>0.8</late-threshold><unknown>1</unknown></havenford>"));
        assertEquals(0.8, o.stragglerThreshold());
        assertEquals(OperatorSettings.DEFAULTS.stragglerMinimumDone(), o.stragglerMinimumDone());
        for (String bad : new String[] {
            "<havenford><late-threshold>2</late-threshold></havenford>",
            "<havenford><late-threshold>x</late-threshold></havenford>"
        }) {
            OperatorSettings.InvalidSettingException e = assertThrows(
                    OperatorSettings.InvalidSettingException.class, () -> OperatorSettings.read(write(dir, bad)));
            assertTrue(e.getMessage().contains("late-threshold"), e.getMessage());
        }
        assertEquals(
                OperatorSettings.SpeedFirst.NEVER,
                OperatorSettings.read(write(dir, "<havenford><speed-first>never</speed-first></havenford>"))
                        .speedFirst());
        assertThrows(
                OperatorSettings.InvalidSettingException.class,
                () -> OperatorSettings.read(write(dir, "<havenford><speed-first>red</speed-first></havenford>")));
        assertThrows(
                OperatorSettings.InvalidSettingException.class, () -> OperatorSettings.read(write(dir, "<havenford>")));
        assertTrue(OperatorSettings.read(write(dir, "<havenford><standby>on</standby></havenford>"))
                .standby()
                .enabled());
        for (String bad : new String[] {
            "<havenford><standby>yes</standby></havenford>",
            "<havenford><standby-challenge-ms>1</standby-challenge-ms></havenford>",
            "<havenford><standby-heartbeat-ms>400</standby-heartbeat-ms></havenford>"
        }) {
            OperatorSettings.InvalidSettingException e = assertThrows(
                    OperatorSettings.InvalidSettingException.class, () -> OperatorSettings.read(write(dir, bad)));
            assertTrue(e.getMessage().contains("<standby"), e.getMessage());
        }
        assertThrows(
                OperatorSettings.InvalidSettingException.class,
                () -> OperatorSettings.read(write(dir, "<!DOCTYPE x><havenford/>")));
    }

    private static Path write(Path dir, String text) throws IOException {
        return Files.writeString(dir.resolve("operator.xml"), text);
    }
}
