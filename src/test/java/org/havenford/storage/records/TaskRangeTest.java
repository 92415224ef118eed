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
    private static final Instant START = Instant.ofEpochMilli(1_700_000_000_000L);

    /** The largest task range of new jobs must fit the value limit, for the limits that deployments have. */
    @Test
    void fullTaskRangeStaysWithinTheValueLimit() {
        for (int limit : new int[] {8 * 1024, 16 * 1024}) {
            int size = Job.taskRangeSize(limit);
            TaskRange taskRange = new TaskRange("j-1", 99_936, size);
            for (int i = 99_936; i < 99_936 + size; i++) {
                taskRange.claim(i, "host-00000123456", 12345, START, "workhorse-0123456789");
                taskRange.release(i, true, true);
                taskRange.claim(i, "host-00000123456", 12345, START, "workhorse-0123456789");
            }
            for (int i = 0; i < size; i++) {
                taskRange.pullDurations().add(99_999);
                taskRange.runDurations().add(99_999);
            }
            int bytes = taskRange.toJson().toString().getBytes(StandardCharsets.UTF_8).length;
            assertTrue(bytes <= limit, bytes + " of " + limit);
        }
    }

    /**
     * A task range that an earlier version stored under a larger limit must fit 2 KiB once all controllers read the
     * compact form.
     */
    @Test
    void taskRangeOfALargerLimitFitsTheLoweredLimitInCompactForm() throws Exception {
        for (int limit : new int[] {8 * 1024, 16 * 1024}) {
            int size = Job.taskRangeSize(limit);
            TaskRange taskRange = new TaskRange("j-1", 64, size);
            for (int i = 64; i < 64 + size; i++) {
                taskRange.claim(i, "host-000" + (100 + i), 12, START.plusMillis(1000L * i), "workhorse-" + i % 7);
                taskRange.pullDurations().add(i);
                taskRange.runDurations().add(1000 - i);
            }
            taskRange.release(70, true, true);
            int median =
                    taskRange.runDurations().getInt(taskRange.runDurations().size() / 2);
            assertNull(
                    taskRange.copy().toJson(2048, 2048, false), "no form that the earlier version reads is that small");
            assertTrue(
                    taskRange.copy().toJson(2048, limit, false).has("c"),
                    "the value stays readable for the earlier version");
            TaskRange copy = taskRange.copy();
            String text = copy.toJson(2048, limit, true).toString();
            assertTrue(text.length() <= 2048, text);
            TaskRange read = new TaskRange("j-1", 64, size)
                    .read(JsonParser.parseString(text).getAsJsonObject());
            assertEquals(List.copyOf(taskRange.claims()), List.copyOf(read.claims()));
            assertEquals("host-000170", read.stragglerMachine(70));
            assertEquals(
                    2,
                    read.claim(70, "host-1", 1, START, "").attempt(),
                    "attempt numbers continue after the stored ones");
            assertEquals(13, read.claims().iterator().next().incarnation() + 1);
            assertEquals(median, read.runDurations().getInt(read.runDurations().size() / 2), 20);
        }
    }

    /** The largest task range of jobs that are accepted under the lowered limit must fit it. */
    @Test
    void fullTaskRangeFitsASmallLimitInCompactForm() {
        int size = Job.taskRangeSize(2048);
        TaskRange taskRange = new TaskRange("j-1", 99_936, size);
        for (int i = 99_936; i < 99_936 + size; i++) {
            taskRange.claim(i, "host-00000123456", 12345, START.plusMillis(i), "workhorse-0123456789");
            taskRange.pullDurations().add(99_999);
            taskRange.runDurations().add(99_999);
        }
        assertTrue(taskRange.toJson(2048, 2048, true).toString().length() <= 2048);
    }

    /** The value is one that the version in production writes. */
    @Test
    void taskRangeOfTheEarlierVersionIsRewrittenUnchanged() throws Exception {
        String stored =
                "{\"d\":[\"5\"],\"c\":[[1,2,\"host-000007\",3,1700000000000,\"workhorse-1\"],[3,1,\"host-000008\",1,1700000000500]],"
                        + "\"n\":{\"1\":2,\"3\":1},\"l\":{\"1\":\"host-000009\"},\"f\":[12],\"r\":[250,260],\"x\":1}";
        TaskRange taskRange =
                new TaskRange("j-1", 0, 16).read(JsonParser.parseString(stored).getAsJsonObject());
        assertEquals(stored, taskRange.toJson(2048, 8192, false).toString());
        assertEquals(
                stored,
                taskRange.toJson(2048, 8192, true).toString(),
                "a value that fits keeps the form that both versions read");
    }

    /**
     * Tests a header that the version in production writes, and the fields that a header with dependencies keeps when
     * rewritten.
     */
    @Test
    void headersOfBothVersionsKeepTheirFields() throws Exception {
        String stored =
                "{\"nameId\":\"j-000412\",\"lineup\":\"train\",\"crew\":\"red\",\"shape\":\"batch\",\"urgency\":\"urgent\",\"shots\":40,"
                        + "\"vcpus\":8.0,\"cards\":0.0,\"memGb\":64.0,\"together\":false,\"apart\":true,\"borrowed\":true,\"reel\":\"img-07\",\"imageGb\":6.2,"
                        + "\"guessS\":240.0,\"keyframeS\":30.0,\"flushS\":4.0,\"airtimeS\":900.0,\"_at\":1700000000000,\"_chunk\":58}";
        Job old = Job.parse(JsonParser.parseString(stored).getAsJsonObject());
        assertEquals(stored, old.header(false).toString());
        assertTrue(!old.awaitsDependencies()
                && old.taskRangeCount() == 1
                && old.releasedAt().equals(old.submittedAt()));
        JsonObject withDependencies = JsonParser.parseString(stored).getAsJsonObject();
        withDependencies.add("awaits", JsonParser.parseString("[\"j-2\",\"j-1\",\"j-2\"]"));
        Job waiting = Job.parse(withDependencies);
        assertTrue(waiting.awaitsDependencies());
        assertEquals(
                Set.of("j-1", "j-2"), Job.parse(waiting.header(true)).spec().dependencies());
        Job ready = Job.parse(waiting.releasedHeader(START.plusSeconds(9)));
        assertTrue(!ready.awaitsDependencies()
                && ready.releasedAt().equals(START.plusSeconds(9))
                && ready.deadline().equals(old.deadline()));
        assertTrue(
                !Job.parse(ready.header(false)).awaitsDependencies(),
                "a claim of a job with a spread constraint rewrites the header");
    }

    @Test
    void encodedTaskRangeIsDecodedUnchanged() throws Exception {
        TaskRange taskRange = new TaskRange("j-1", 64, 64);
        taskRange.claim(70, "host-1", 3, START, "node-1");
        taskRange.claim(71, "host-2", 1, START, "");
        taskRange.finish(71, 1.5, 20.25);
        taskRange.claim(72, "host-2", 1, START, "");
        taskRange.release(72, true, false);
        TaskRange read = new TaskRange("j-1", 64, 64).read(taskRange.toJson());
        assertEquals(taskRange.toJson(), read.toJson());
        assertEquals(1, read.doneCount());
        assertEquals(62, read.pendingCount());
        assertEquals("host-2", read.stragglerMachine(72));
        assertNull(read.stragglerMachine(70));
    }

    @Test
    void attemptNumbersOnlyIncrease() {
        TaskRange taskRange = new TaskRange("j-1", 0, 2);
        assertEquals(1, taskRange.claim(0, "host-1", 1, START, "").attempt());
        taskRange.release(0, false, false);
        assertEquals(2, taskRange.claim(0, "host-1", 1, START, "").attempt());
    }

    @Test
    void errorNamesTheMalformedField() {
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
            TaskRange empty = new TaskRange("j-1", 0, 2);
            MalformedMessageException error =
                    assertThrows(MalformedMessageException.class, () -> empty.read(stored), field);
            assertEquals(field.substring(1, 2), error.getMessage().substring(0, 1));
        }
    }
}
