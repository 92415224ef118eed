package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.havenford.storage.records.Keys;
import org.havenford.testing.RawHttpConnection;
import org.havenford.transport.HttpCalls.Reply;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests, over sockets, that a controller process takes each sound form of a submission for the same job, and no other. */
class SubmissionFormsTest {
    private static final String TEAM = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}";
    private static final double TIMEOUT_SECONDS = 30;
    private static final String NODE = "node-0";
    private static final String PLAIN = "{\"nameId\":\"ID\",\"lineup\":\"cut\",\"crew\":\"red\",\"shape\":\"batch\","
            + "\"urgency\":\"normal\",\"shots\":4,\"vcpus\":4,\"cards\":0,\"memGb\":8,\"reel\":\"img-1\",\"imageGb\":1,"
            + "\"rigs\":null,\"hall\":null,\"together\":false,\"apart\":false,\"borrowed\":true,\"guessS\":20,"
            + "\"keyframeS\":0,\"flushS\":0,\"airtimeS\":null}";
    private static final int MANY = 2000;
    private static final String JOB_PREFIX = Keys.job("");
    private static final String FINAL_STATE_PREFIX = Keys.finalState("");

    @TempDir
    Path directory;

    /** Returns a plain submission with further fields. */
    private static String with(String fields) {
        return PLAIN.substring(0, PLAIN.length() - 1) + "," + fields + "}";
    }

    /** Returns sound forms of one submission, each with its name. */
    private static Map<String, String> soundForms() {
        Map<String, String> forms = new LinkedHashMap<>();
        forms.put("unknown text", with("\"mood\":\"calm\""));
        forms.put("unknown null", with("\"mood\":null"));
        forms.put("unknown objects and arrays", with("\"mood\":{\"a\":[1,{\"b\":[]},\"x\",null,true]},\"\":[[[]]]"));
        forms.put("unknown field names like known ones", with("\"NAMEID\":\"j-7\",\"name_id\":7,\"shots \":9"));
        forms.put("unknown integer of 400 digits", with("\"mood\":" + "9".repeat(400)));
        forms.put("unknown exponent beyond any float", with("\"mood\":1e999999999,\"m2\":-1E-999999999"));
        forms.put("counts as decimals", PLAIN.replace("\"shots\":4", "\"shots\":4.0"));
        forms.put("counts with exponents", PLAIN.replace("\"shots\":4", "\"shots\":4e0"));
        forms.put("counts with negative exponents", PLAIN.replace("\"shots\":4", "\"shots\":40e-1"));
        forms.put("amounts with exponents", PLAIN.replace("\"vcpus\":4", "\"vcpus\":0.4E+1"));
        forms.put("amounts of minus zero", PLAIN.replace("\"cards\":0", "\"cards\":-0.0"));
        forms.put("white space", PLAIN.replace(",", " ,\r\n\t").replace(":", "\n: ") + "\r\n ");
        forms.put(
                "nulls left out",
                PLAIN.replaceAll("\"(rigs|hall|airtimeS)\":null,?", "").replace(",}", "}"));
        forms.put("escapes in names", PLAIN.replace("\"shots\"", "\"\\u0073ho\\u0074s\""));
        forms.put(
                "escapes in values",
                PLAIN.replace("\"red\"", "\"\\u0072ed\"").replace("\"ID\"", "\"\\u006a\\u002DNUMBER\""));
        forms.put("text beyond the basic plane", PLAIN.replace("\"cut\"", "\"\\ud83c\\udfac č 🎬\""));
        forms.put("fields in reverse order", reversed());
        return forms;
    }

    private static String reversed() {
        String[] fields = PLAIN.substring(1, PLAIN.length() - 1).split(",");
        StringBuilder text = new StringBuilder();
        for (String field : fields) {
            text.insert(0, "," + field);
        }
        return "{" + text.substring(1) + "}";
    }

    /** Returns bodies that are no JSON object, each with its name. */
    private static Map<String, byte[]> unsoundBodies() {
        Map<String, byte[]> bodies = new LinkedHashMap<>();
        Charset utf8 = StandardCharsets.UTF_8;
        bodies.put("nothing", new byte[0]);
        bodies.put("an array", ("[" + PLAIN + "]").getBytes(utf8));
        bodies.put("text after the object", (PLAIN + "x").getBytes(utf8));
        bodies.put("a comma too many", PLAIN.replace("null}", "null,}").getBytes(utf8));
        bodies.put("no quotes", PLAIN.replace("\"cut\"", "cut").getBytes(utf8));
        bodies.put("single quotes", PLAIN.replace("\"cut\"", "'cut'").getBytes(utf8));
        bodies.put("a comment", PLAIN.replace(",\"crew\"", ",/* c */\"crew\"").getBytes(utf8));
        bodies.put(
                "a leading zero", PLAIN.replace("\"shots\":4", "\"shots\":04").getBytes(utf8));
        bodies.put("not a number", PLAIN.replace("\"vcpus\":4", "\"vcpus\":NaN").getBytes(utf8));
        bodies.put(
                "a raw line end in a text",
                PLAIN.replace("\"cut\"", "\"c\nut\"").getBytes(utf8));
        bodies.put("half of it", PLAIN.substring(0, PLAIN.length() / 2).getBytes(utf8));
        return bodies;
    }

    private static String idOf(String form, int number) {
        return form.replace("\"ID\"", "\"j-" + number + "\"").replace("NUMBER", Integer.toString(number));
    }

    private static byte[] withBytes(int... inserted) {
        String[] parts = idOf(PLAIN, 99).split("cut", 2);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(parts[0].getBytes(StandardCharsets.UTF_8));
        for (int b : inserted) {
            bytes.write(b);
        }
        bytes.writeBytes(parts[1].getBytes(StandardCharsets.UTF_8));
        return bytes.toByteArray();
    }

    private static Reply submit(LoopbackCluster loopback, byte[] body) throws InterruptedException {
        return loopback.request(
                NODE,
                connection -> {
                    connection.send(RawHttpConnection.head("POST", "/submissions", "Content-Length: " + body.length));
                    connection.send(body);
                },
                TIMEOUT_SECONDS);
    }

    private static int statusOf(LoopbackCluster loopback, String body) throws InterruptedException {
        return submit(loopback, body.getBytes(StandardCharsets.UTF_8)).status();
    }

    private interface Steps {
        void run(LoopbackCluster loopback) throws Exception;
    }

    /** Runs steps on a cluster with one controller that can take submissions. */
    private void onCluster(Steps steps) throws Exception {
        try (LoopbackCluster loopback = new LoopbackCluster(directory, 1, TEAM, "<havenford/>")) {
            int status = 0;
            while (status != 201 && loopback.seconds() < TIMEOUT_SECONDS) {
                loopback.runUntil(() -> false, 0.2);
                try {
                    status = statusOf(loopback, idOf(PLAIN, 1));
                } catch (CompletionException e) {
                    // The controller does not listen yet.
                }
            }
            assertEquals(201, status);
            steps.run(loopback);
        }
    }

    private static void assertSound(LoopbackCluster loopback, String name, String form, int number) throws Exception {
        String plain = idOf(PLAIN, number);
        String other = idOf(PLAIN, number + 1);
        assertEquals(201, statusOf(loopback, idOf(form, number)), name);
        assertEquals(200, statusOf(loopback, plain), name + ", then plain");
        assertEquals(201, statusOf(loopback, other), "plain, before " + name);
        assertEquals(200, statusOf(loopback, idOf(form, number + 1)), "plain, then " + name);
    }

    @Test
    @Timeout(180)
    void soundSubmissionsAreNeitherRefusedNorTakenForSecondJobs() throws Exception {
        onCluster(loopback -> {
            int number = 100;
            for (Map.Entry<String, String> form : soundForms().entrySet()) {
                assertSound(loopback, form.getKey(), form.getValue(), number);
                number += 2;
            }
            long jobs = loopback.simulator.store.values.keySet().stream()
                    .filter(key -> key.startsWith(JOB_PREFIX) || key.startsWith(FINAL_STATE_PREFIX))
                    .count();
            assertEquals(1 + 2L * soundForms().size(), jobs);
        });
    }

    @Test
    @Timeout(60)
    void aSubmissionWithADeeplyNestedUnknownFieldIsNotRefused() throws Exception {
        String form = with("\"mood\":" + "[".repeat(MANY) + "]".repeat(MANY));
        onCluster(loopback -> assertSound(loopback, "nested", form, 100));
    }

    @Tag("known-red")
    @Test
    @Timeout(60)
    void aSubmissionWithALongNumberIsNotRefused() throws Exception {
        String form = with("\"mood\":" + "9".repeat(MANY)).replace("\"vcpus\":4", "\"vcpus\":4." + "0".repeat(MANY));
        onCluster(loopback -> assertSound(loopback, "long number", form, 100));
    }

    @Test
    @Timeout(60)
    void bodiesThatAreNoJsonObjectAreRefused() throws Exception {
        onCluster(loopback -> {
            for (Map.Entry<String, byte[]> body : unsoundBodies().entrySet()) {
                assertEquals(400, submit(loopback, body.getValue()).status(), body.getKey());
            }
        });
    }

    @Tag("known-red")
    @Test
    @Timeout(60)
    void bodiesThatAreNotUtf8AreRefused() throws Exception {
        onCluster(loopback -> {
            assertEquals(400, submit(loopback, withBytes('c', 0xE8, 'u')).status(), "a byte of another charset");
            assertEquals(400, submit(loopback, withBytes(0xC0, 0xAF)).status(), "an overlong form");
            assertEquals(400, submit(loopback, withBytes(0xED, 0xA0, 0x80)).status(), "a surrogate");
            assertEquals(400, submit(loopback, withBytes(0xF0, 0x9F, 0x8E)).status(), "a cut off character");
            assertEquals(
                    201, submit(loopback, withBytes(0xF0, 0x9F, 0x8E, 0xAC)).status(), "a character");
        });
    }
}
