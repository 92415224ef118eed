package org.havenford.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.time.Duration;
import org.havenford.settings.PlatformSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MessagesTest {
    private static final String JOB =
            "{\"nameId\":\"j-000412\",\"lineup\":\"train\",\"crew\":\"vision\",\"shape\":\"batch\","
                    + "\"urgency\":\"urgent\",\"shots\":16,\"vcpus\":8.0,\"cards\":0,\"memGb\":64.0,\"reel\":\"img-07\",\"imageGb\":6.2,"
                    + "\"rigs\":null,\"hall\":null,\"together\":true,\"apart\":false,\"borrowed\":true,\"guessS\":240.0,"
                    + "\"keyframeS\":0,\"flushS\":0,\"airtimeS\":900.0,\"new\":{\"x\":[1]}}";

    @Test
    void jobSpecRoundTrips() throws Exception {
        JobSpec spec = JobSpec.parse(Json.object(JOB));
        assertEquals(spec, JobSpec.parse(spec.toJson()));
        assertEquals(Duration.ofMinutes(15), spec.deadline());
        assertNull(spec.types());
    }

    @ParameterizedTest
    @CsvSource({
        "shots,0",
        "shots,-1",
        "shots,1.5",
        "shots,100001",
        "shots,1e300",
        "vcpus,0",
        "vcpus,-2",
        "vcpus,1e300",
        "memGb,-1",
        "cards,-1",
        "guessS,true",
        "shape,'\"ensemble\"'",
        "shape,'\"gang\"'",
        "urgency,'\"soon\"'",
        "nameId,'\"j-1/../x\"'",
        "nameId,'\"k-1\"'",
        "lineup,null",
        "together,1",
        "airtimeS,-5",
        "rigs,'[1]'",
        "reel,'[]'"
    })
    void errorNamesInvalidField(String field, String value) throws Exception {
        JsonObject json = Json.object(JOB);
        json.add(field, com.google.gson.JsonParser.parseString(value));
        MalformedMessageException e = assertThrows(MalformedMessageException.class, () -> JobSpec.parse(json));
        assertTrue(e.getMessage().contains(field), e.getMessage());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "7", "{", "{} {}", "{\"a\":NaN}", "{a:1}", "\u0000"})
    void rejectsTextThatIsNotOneObject(String text) {
        assertThrows(MalformedMessageException.class, () -> Json.object(text));
    }

    @Test
    void rejectsDeeplyNestedText() {
        assertThrows(MalformedMessageException.class, () -> Json.object("{\"a\":" + "[".repeat(30_000)));
    }

    @Test
    void settingsErrorNamesMissingField() {
        MalformedMessageException e =
                assertThrows(MalformedMessageException.class, () -> PlatformSettings.parse("{\"node_name\":\"a\"}"));
        assertTrue(e.getMessage().contains("endpoints"), e.getMessage());
    }

    @Test
    void heartbeatsAreOrderedByIncarnationAndSequence() throws Exception {
        Heartbeat a = heartbeat(1, 90);
        assertTrue(heartbeat(2, 1).isNewerThan(a));
        assertTrue(heartbeat(1, 91).isNewerThan(a));
        assertEquals(false, heartbeat(1, 90).isNewerThan(a));
    }

    private static Heartbeat heartbeat(long incarnation, long sequence) throws MalformedMessageException {
        return Heartbeat.parse(Json.object(
                "{\"box\":\"host-1\",\"endpoint\":\"10.0.0.1:9\",\"rig\":\"g8\",\"hall\":\"a\",\"borrowed\":false,"
                        + "\"shift\":" + incarnation + ",\"tally\":" + sequence
                        + ",\"baton\":4294967296,\"shots\":[{\"shot\":\"j-1/0\",\"take\":1,\"status\":\"running\"}]}"));
    }
}
