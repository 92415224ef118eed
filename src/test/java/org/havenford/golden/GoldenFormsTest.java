package org.havenford.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.havenford.protocol.MalformedMessageException;
import org.junit.jupiter.api.Test;

/**
 * Guards the formats of stored values, messages and calls against unintended changes. Each entry of a golden file is
 * built again from fixed inputs and compared; entries in a format that the code also reads are parsed and written back.
 * The order of fields is not compared. {@code mvn test -Dtest=GoldenFormsTest -Dhavenford.golden=write} regenerates the
 * files.
 */
class GoldenFormsTest {
    private static final String STORED_VALUES = "stored-values.json";
    private static final String EARLIER_REGISTRATIONS = "earlier-members.json";
    private static final String MESSAGES = "messages.json";
    private static final String STORE_CALLS = "state-service-calls.json";
    private static final String CONTROLLER_CALLS = "controller-calls.json";
    private static final String RESPONSES = "answers.json";

    /** Parses an entry and writes it back; returns null if the code does not both read and write its format. */
    private interface Rewriter {
        JsonElement rewrite(String name, JsonObject value) throws MalformedMessageException;
    }

    private static void assertMatchesGoldenFile(String file, Map<String, JsonElement> actual) throws Exception {
        if (GoldenFiles.isWriteMode()) {
            GoldenFiles.write(file, actual);
        }
        Map<String, JsonElement> golden = GoldenFiles.read(file);
        assertEquals(golden.keySet(), actual.keySet(), file);
        for (Map.Entry<String, JsonElement> entry : golden.entrySet()) {
            assertEquals(entry.getValue(), GoldenFiles.reparse(actual.get(entry.getKey())), entry.getKey());
        }
    }

    /** Checks that entries round-trip; returns the kinds of those that were parsed and written back. */
    private static Set<String> assertRoundTrips(String file, Rewriter rewriter) throws Exception {
        Set<String> kinds = new TreeSet<>();
        for (Map.Entry<String, JsonElement> entry : GoldenFiles.read(file).entrySet()) {
            String name = entry.getKey();
            JsonElement rewritten = rewriter.rewrite(name, entry.getValue().getAsJsonObject());
            if (rewritten != null) {
                kinds.add(name.replaceAll("#.*", "").replaceAll("^(final|live/[a-z]+)/.*", "$1"));
                assertEquals(entry.getValue(), GoldenFiles.reparse(rewritten), name);
            }
        }
        return kinds;
    }

    @Test
    void storedValues() throws Exception {
        assertMatchesGoldenFile(STORED_VALUES, GoldenStoredValues.buildAll());
        assertEquals(
                Set.of(
                        "final",
                        "live/booking",
                        "live/heard",
                        "live/job",
                        "live/machine",
                        "live/tasks",
                        "live/team",
                        "live/types",
                        "live/view"),
                assertRoundTrips(STORED_VALUES, GoldenStoredValues::rewrite));
    }

    @Test
    void messages() throws Exception {
        assertMatchesGoldenFile(MESSAGES, GoldenMessages.buildAll());
        assertEquals(
                Set.of("cloud-machine-page", "cloud-machine-types", "cloud-rented", "report", "submission"),
                assertRoundTrips(MESSAGES, GoldenMessages::rewrite));
    }

    /** Null values and unknown fields are ignored. */
    @Test
    void submissionsWithNullsAndUnknownFields() throws Exception {
        JsonObject minimal = GoldenFiles.read(MESSAGES).get("submission#least").getAsJsonObject();
        JsonObject extended = minimal.deepCopy();
        for (String field : Set.of("rigs", "hall", "airtimeS", "awaits")) {
            assertFalse(extended.has(field));
            extended.add(field, JsonNull.INSTANCE);
        }
        extended.add("unknown", JsonParser.parseString("{\"x\":[1]}"));
        assertEquals(minimal, GoldenFiles.reparse(GoldenMessages.rewrite("submission#given", extended)));
    }

    @Test
    void callsToTheStore() throws Exception {
        assertMatchesGoldenFile(STORE_CALLS, GoldenCalls.buildAll());
    }

    /** One scripted conversation yields both the controller's responses and the calls that it makes. */
    @Test
    void responsesAndCallsOfController() throws Exception {
        GoldenConversation conversation = new GoldenConversation().runScript();
        assertMatchesGoldenFile(RESPONSES, conversation.responses());
        assertMatchesGoldenFile(CONTROLLER_CALLS, conversation.calls());
    }

    /** Registrations of formats 1 and 2 can be read, and yield the features that those versions support. */
    @Test
    void registrationsOfEarlierFormats() throws Exception {
        assertMatchesGoldenFile(EARLIER_REGISTRATIONS, GoldenStoredValues.earlierRegistrations());
        Map<String, JsonElement> golden = GoldenFiles.read(EARLIER_REGISTRATIONS);
        assertEquals("false false", GoldenCalls.supportedFeatures(golden.get("live/member/node-0#format-1")));
        assertEquals("true false", GoldenCalls.supportedFeatures(golden.get("live/member/node-0#format-2")));
        JsonElement registration = new GoldenConversation().runScript().calls().get("controller-registration");
        JsonElement present = registration
                .getAsJsonObject()
                .getAsJsonObject("body")
                .getAsJsonArray("writes")
                .get(0)
                .getAsJsonObject()
                .get("v");
        assertEquals("true true", GoldenCalls.supportedFeatures(present));
    }
}
