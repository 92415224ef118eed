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

/** Tests which files of operators' settings are accepted, and that the message of a rejection names the element. */
class OperatorSettingsTest {
    @TempDir
    Path directory;

    @Test
    void unknownElementsAreIgnoredAndAbsentElementsHaveDefaults() throws Exception {
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
    void rejectionNamesTheThreshold(String xml) {
        OperatorSettings.InvalidSettingException rejection = assertRejected(xml);
        assertTrue(rejection.getMessage().contains("late-threshold"), rejection.getMessage());
    }

    @Test
    void speedFirstAcceptsOnlyItsValues() throws Exception {
        assertEquals(
                OperatorSettings.SpeedFirst.NEVER,
                read("<havenford><speed-first>never</speed-first></havenford>").speedFirst());
        assertRejected("<havenford><speed-first>red</speed-first></havenford>");
    }

    @Test
    void standbyCanBeEnabled() throws Exception {
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
    void rejectionNamesTheStandbySetting(String xml) {
        OperatorSettings.InvalidSettingException rejection = assertRejected(xml);
        assertTrue(rejection.getMessage().contains("<standby"), rejection.getMessage());
    }

    @Test
    void malformedXmlIsRejected() {
        assertRejected("<havenford>");
    }

    /** A document type declaration could include other files. */
    @Test
    void documentTypeDeclarationIsRejected() {
        assertRejected("<!DOCTYPE x><havenford/>");
    }

    private OperatorSettings.InvalidSettingException assertRejected(String xml) {
        return assertThrows(OperatorSettings.InvalidSettingException.class, () -> read(xml));
    }

    private OperatorSettings read(String xml) throws IOException, OperatorSettings.InvalidSettingException {
        return OperatorSettings.read(Files.writeString(directory.resolve("operator.xml"), xml));
    }
}
