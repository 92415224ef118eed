package org.havenford.storage.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.havenford.protocol.MalformedMessageException;
import org.junit.jupiter.api.Test;

class TaskRangeTest {
    private static final Instant AT = Instant.ofEpochMilli(1_700_000_000_000L);

    /** The largest record that can come about must fit the smallest value limit that a deployment names. */
    @Test
    void aFullChunkStaysWithinTheValueLimit() {
        for (int limit : new int[] {8 * 1024, 16 * 1024}) {
            int size = Job.taskRangeSize(limit);
            TaskRange taskRange = new TaskRange("j-1", 99_936, size);
            for (int i = 99_936; i < 99_936 + size; i++) {
                taskRange.claim(i, "host-00000123456", 12345, AT, "workhorse-0123456789");
                taskRange.release(i, true, true);
                taskRange.claim(i, "host-00000123456", 12345, AT, "workhorse-0123456789");
            }
            for (int i = 0; i < size; i++) {
                taskRange.pullDurations().add(99_999);
                taskRange.runDurations().add(99_999);
            }
            int bytes = taskRange.toJson().toString().getBytes(StandardCharsets.UTF_8).length;
            assertTrue(bytes <= limit, bytes + " of " + limit);
        }
    }

    /** A record that the version before filled to its larger limit is rewritten within 2 KiB once all read the short form. */
    @Test
    void whatWasWrittenLargerFitsTheLowerLimit() throws Exception {
        for (int limit : new int[] {8 * 1024, 16 * 1024}) {
            int size = Job.taskRangeSize(limit);
            TaskRange taskRange = new TaskRange("j-1", 64, size);
            for (int i = 64; i < 64 + size; i++) {
                taskRange.claim(i, "host-000" + (100 + i), 12, AT.plusMillis(1000L * i), "workhorse-" + i % 7);
                taskRange.pullDurations().add(i);
                taskRange.runDurations().add(1000 - i);
            }
            taskRange.release(70, true, true);
            int median =
                    taskRange.runDurations().getInt(taskRange.runDurations().size() / 2);
            assertNull(
                    taskRange.copy().toJson(2048, 2048, false), "no form that the version before reads is that short");
            assertTrue(
                    taskRange.copy().toJson(2048, limit, false).has("c"),
                    "until then it stays readable for the version before");
            TaskRange small = taskRange.copy();
            String text = small.toJson(2048, limit, true).toString();
            assertTrue(text.length() <= 2048, text);
            TaskRange read = new TaskRange("j-1", 64, size)
                    .read(JsonParser.parseString(text).getAsJsonObject());
            assertEquals(List.copyOf(taskRange.claims()), List.copyOf(read.claims()));
            assertEquals("host-000170", read.lateOn(70));
            assertEquals(2, read.claim(70, "host-1", 1, AT, "").attempt(), "attempts go on counting");
            assertEquals(13, read.claims().iterator().next().incarnation() + 1);
            assertEquals(median, read.runDurations().getInt(read.runDurations().size() / 2), 20);
        }
    }

    /** What new jobs' records can grow to under the lower limit. */
    @Test
    void aFullChunkOfASmallLimitHasAFormThatFits() {
        int size = Job.taskRangeSize(2048);
        TaskRange taskRange = new TaskRange("j-1", 99_936, size);
        for (int i = 99_936; i < 99_936 + size; i++) {
            taskRange.claim(i, "host-00000123456", 12345, AT.plusMillis(i), "workhorse-0123456789");
            taskRange.pullDurations().add(99_999);
            taskRange.runDurations().add(99_999);
        }
        assertTrue(taskRange.toJson(2048, 2048, true).toString().length() <= 2048);
    }

    /** Kept as the version in production writes it. */
    @Test
    void aRecordOfTheVersionBeforeIsReadAndWrittenAlike() throws Exception {
        String kept =
                "{\"d\":[\"5\"],\"c\":[[1,2,\"host-000007\",3,1700000000000,\"workhorse-1\"],[3,1,\"host-000008\",1,1700000000500]],"
                        + "\"n\":{\"1\":2,\"3\":1},\"l\":{\"1\":\"host-000009\"},\"f\":[12],\"r\":[250,260],\"x\":1}";
        TaskRange taskRange =
                new TaskRange("j-1", 0, 16).read(JsonParser.parseString(kept).getAsJsonObject());
        assertEquals(kept, taskRange.toJson(2048, 8192, false).toString());
        assertEquals(kept, taskRange.toJson(2048, 8192, true).toString(), "what fits keeps the form that both read");
    }

    /** A header as the version in production writes it, and what a pipeline's header keeps over a rewriting. */
    @Test
    void headersOfBothVersions() throws Exception {
        String kept =
                "{\"nameId\":\"j-000412\",\"lineup\":\"train\",\"crew\":\"red\",\"shape\":\"batch\",\"urgency\":\"urgent\",\"shots\":40,"
                        + "\"vcpus\":8.0,\"cards\":0.0,\"memGb\":64.0,\"together\":false,\"apart\":true,\"borrowed\":true,\"reel\":\"img-07\",\"imageGb\":6.2,"
                        + "\"guessS\":240.0,\"keyframeS\":30.0,\"flushS\":4.0,\"airtimeS\":900.0,\"_at\":1700000000000,\"_chunk\":58}";
        Job old = Job.parse(JsonParser.parseString(kept).getAsJsonObject());
        assertEquals(kept, old.header(false).toString());
        assertTrue(!old.awaitsDependencies()
                && old.taskRangeCount() == 1
                && old.releasedAt().equals(old.submittedAt()));
        JsonObject asked = JsonParser.parseString(kept).getAsJsonObject();
        asked.add("awaits", JsonParser.parseString("[\"j-2\",\"j-1\",\"j-2\"]"));
        Job waits = Job.parse(asked);
        assertTrue(waits.awaitsDependencies());
        assertEquals(Set.of("j-1", "j-2"), Job.parse(waits.header(true)).spec().dependencies());
        Job ready = Job.parse(waits.readyHeader(AT.plusSeconds(9)));
        assertTrue(!ready.awaitsDependencies()
                && ready.releasedAt().equals(AT.plusSeconds(9))
                && ready.deadline().equals(old.deadline()));
        assertTrue(
                !Job.parse(ready.header(false)).awaitsDependencies(),
                "a claim of a spread job writes the header again");
    }

    @Test
    void whatIsWrittenIsRead() throws Exception {
        TaskRange taskRange = new TaskRange("j-1", 64, 64);
        taskRange.claim(70, "host-1", 3, AT, "node-1");
        taskRange.claim(71, "host-2", 1, AT, "");
        taskRange.finish(71, 1.5, 20.25);
        taskRange.claim(72, "host-2", 1, AT, "");
        taskRange.release(72, true, false);
        TaskRange read = new TaskRange("j-1", 64, 64).read(taskRange.toJson());
        assertEquals(taskRange.toJson(), read.toJson());
        assertEquals(1, read.doneCount());
        assertEquals(62, read.pendingCount());
        assertEquals("host-2", read.lateOn(72));
        assertNull(read.lateOn(70));
    }

    @Test
    void attemptsOnlyGrow() {
        TaskRange taskRange = new TaskRange("j-1", 0, 2);
        assertEquals(1, taskRange.claim(0, "host-1", 1, AT, "").attempt());
        taskRange.release(0, false, false);
        assertEquals(2, taskRange.claim(0, "host-1", 1, AT, "").attempt());
    }

    @Test
    void aFieldOfTheWrongFormIsNamed() {
        for (String field : List.of(
                "\"d\":[\"x\"]",
                "\"c\":[[1,2]]",
                "\"s\":{\"p\":\"\",\"t\":0,\"a\":[],\"c\":\"0 1 m 1 0 0\"}",
                "\"n\":{\"x\":1}",
                "\"l\":{\"1\":null}",
                "\"f\":[\"x\"]",
                "\"r\":[{}]",
                "\"x\":\"1\"")) {
            JsonObject stored = JsonParser.parseString("{" + field + "}").getAsJsonObject();
            TaskRange fresh = new TaskRange("j-1", 0, 2);
            MalformedMessageException error =
                    assertThrows(MalformedMessageException.class, () -> fresh.read(stored), field);
            assertEquals(field.substring(1, 2), error.getMessage().substring(0, 1));
        }
    }
}
