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
 * Stored values, messages and calls keep the forms that the golden files hold, whatever becomes of the classes behind them.
 * Each form is built again from fixed inputs, and each that is read is read from the file and written back. Fields may
 * change their order. {@code mvn test -Dtest=GoldenFormsTest -Dhavenford.golden=write} writes the files anew.
 */
class GoldenFormsTest {
    private static final String STORED_VALUES = "stored-values.json";
    private static final String MEMBERS = "earlier-members.json";
    private static final String MESSAGES = "messages.json";
    private static final String CALLS = "state-service-calls.json";
    private static final String CONTROLLER_CALLS = "controller-calls.json";
    private static final String ANSWERS = "answers.json";

    /** Reads an entry and writes it back; null for one that is not read, or not written. */
    private interface Rewriter {
        JsonElement rewritten(String name, JsonObject value) throws MalformedMessageException;
    }

    private static void assertBuiltAlike(String file, Map<String, JsonElement> built) throws Exception {
        if (GoldenFiles.writing()) {
            GoldenFiles.write(file, built);
        }
        Map<String, JsonElement> golden = GoldenFiles.read(file);
        assertEquals(golden.keySet(), built.keySet(), file);
        for (Map.Entry<String, JsonElement> entry : golden.entrySet()) {
            assertEquals(entry.getValue(), GoldenFiles.reread(built.get(entry.getKey())), entry.getKey());
        }
    }

    /** Returns the kinds of entries that were read and written back. */
    private static Set<String> assertRewrittenAlike(String file, Rewriter rewriter) throws Exception {
        Set<String> kinds = new TreeSet<>();
        for (Map.Entry<String, JsonElement> entry : GoldenFiles.read(file).entrySet()) {
            String name = entry.getKey();
            JsonElement rewritten = rewriter.rewritten(name, entry.getValue().getAsJsonObject());
            if (rewritten != null) {
                kinds.add(name.replaceAll("#.*", "").replaceAll("^(final|live/[a-z]+)/.*", "$1"));
                assertEquals(entry.getValue(), GoldenFiles.reread(rewritten), name);
            }
        }
        return kinds;
    }

    @Test
    void storedValues() throws Exception {
        assertBuiltAlike(STORED_VALUES, GoldenStoredValues.built());
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
                assertRewrittenAlike(STORED_VALUES, GoldenStoredValues::rewritten));
    }

    @Test
    void messages() throws Exception {
        assertBuiltAlike(MESSAGES, GoldenMessages.built());
        assertEquals(
                Set.of("cloud-machine-page", "cloud-machine-types", "cloud-rented", "report", "submission"),
                assertRewrittenAlike(MESSAGES, GoldenMessages::rewritten));
    }

    /** A null and a field that nobody knows read as if they were left out. */
    @Test
    void submissionsWithNullsAndUnknownFields() throws Exception {
        JsonObject least = GoldenFiles.read(MESSAGES).get("submission#least").getAsJsonObject();
        JsonObject given = least.deepCopy();
        for (String field : Set.of("rigs", "hall", "airtimeS", "awaits")) {
            assertFalse(given.has(field));
            given.add(field, JsonNull.INSTANCE);
        }
        given.add("unknown", JsonParser.parseString("{\"x\":[1]}"));
        assertEquals(least, GoldenFiles.reread(GoldenMessages.rewritten("submission#given", given)));
    }

    @Test
    void callsToTheStateService() throws Exception {
        assertBuiltAlike(CALLS, GoldenCalls.built());
    }

    /** The same conversation gives the answers to users and workers, and the calls that one controller makes. */
    @Test
    void answersAndCallsOfAController() throws Exception {
        GoldenConversation conversation = new GoldenConversation().held();
        assertBuiltAlike(ANSWERS, conversation.answers());
        assertBuiltAlike(CONTROLLER_CALLS, conversation.calls());
    }

    /** Registrations of formats 1 and 2 are read, and count for what their versions understand. */
    @Test
    void membersOfEarlierFormats() throws Exception {
        assertBuiltAlike(MEMBERS, GoldenStoredValues.earlierMembers());
        Map<String, JsonElement> golden = GoldenFiles.read(MEMBERS);
        assertEquals("false false", GoldenCalls.understoodBy(golden.get("live/member/node-0#format-1")));
        assertEquals("true false", GoldenCalls.understoodBy(golden.get("live/member/node-0#format-2")));
        JsonElement registration = new GoldenConversation().held().calls().get("controller-registration");
        JsonElement present = registration
                .getAsJsonObject()
                .getAsJsonObject("body")
                .getAsJsonArray("writes")
                .get(0)
                .getAsJsonObject()
                .get("v");
        assertEquals("true true", GoldenCalls.understoodBy(present));
    }
}
