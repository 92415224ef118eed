package org.havenford.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which operators' files are accepted, and what the message of a rejection names. */
class OperatorSettingsTest {
    @TempDir
    Path directory;

    @Test
    void unknownElementsAreIgnoredAndAbsentOnesHaveTheirDefaults() throws Exception {
        OperatorSettings settings =
                read("<havenford><late-threshold>0.8</late-threshold><unknown>1</unknown></havenford>");
        assertEquals(0.8, settings.stragglerThreshold());
        assertEquals(OperatorSettings.DEFAULTS.stragglerMinimumDone(), settings.stragglerMinimumDone());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "<havenford><late-threshold>2</late-threshold></havenford>",
                "<havenford><late-threshold>x</late-threshold></havenford>"
            })
    void aRejectedThresholdIsNamed(String xml) {
        OperatorSettings.InvalidSettingException rejection = assertRejected(xml);
        assertTrue(rejection.getMessage().contains("late-threshold"), rejection.getMessage());
    }

    @Test
    void speedFirstIsOneOfItsThreeValues() throws Exception {
        assertEquals(
                OperatorSettings.SpeedFirst.NEVER,
                read("<havenford><speed-first>never</speed-first></havenford>").speedFirst());
        assertRejected("<havenford><speed-first>red</speed-first></havenford>");
    }

    @Test
    void standbyCanBeSwitchedOn() throws Exception {
        assertTrue(
                read("<havenford><standby>on</standby></havenford>").standby().enabled());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "<havenford><standby>yes</standby></havenford>",
                "<havenford><standby-challenge-ms>1</standby-challenge-ms></havenford>",
                "<havenford><standby-heartbeat-ms>400</standby-heartbeat-ms></havenford>"
            })
    void aRejectedStandbySettingIsNamed(String xml) {
        OperatorSettings.InvalidSettingException rejection = assertRejected(xml);
        assertTrue(rejection.getMessage().contains("<standby"), rejection.getMessage());
    }

    @Test
    void aFileThatIsNotWellFormedIsRejected() {
        assertRejected("<havenford>");
    }

    /** A document type could include other files. */
    @Test
    void aDocumentTypeIsRejected() {
        assertRejected("<!DOCTYPE x><havenford/>");
    }

    private OperatorSettings.InvalidSettingException assertRejected(String xml) {
        return assertThrows(OperatorSettings.InvalidSettingException.class, () -> read(xml));
    }

    private OperatorSettings read(String xml) throws IOException, OperatorSettings.InvalidSettingException {
        return OperatorSettings.read(Files.writeString(directory.resolve("operator.xml"), xml));
    }
}
