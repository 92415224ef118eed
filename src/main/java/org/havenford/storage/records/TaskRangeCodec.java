package org.havenford.storage.records;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.protocol.TaskId;

/** The stored forms of a task range: the usual one, and shorter ones where it would exceed the limit of values. */
final class TaskRangeCodec {
    // Stored field names; versions in production read and write them, so they must not change.
    private static final String DONE = "d";
    private static final String CLAIMS = "c";
    private static final String COMPACT_CLAIMS = "s";
    private static final String ATTEMPTS = "n";
    private static final String LATE = "l";
    private static final String PULL_DURATIONS = "f";
    private static final String RUN_DURATIONS = "r";
    private static final String ERRORS = "x";

    /** Durations that stay when there is no room for all. */
    private static final int KEPT_DURATIONS = 9;

    /** Number of values of a stored claim without a quota holder. */
    private static final int CLAIM_WITHOUT_HOLDER = 5;

    /** Reads one field; whatever it throws means that the field is of the wrong form. */
    private interface FieldReader {
        void read() throws MalformedMessageException;
    }

    private TaskRangeCodec() {}

    // ---- writing

    /**
     * A stored form of at most {@code limit} bytes; null if there is none. Durations are thinned out first, in the range
     * itself, which moves their median little. Then comes the short form of the claims, for readers of format 2 alone;
     * while there are others, what the version before wrote larger may have {@code presentLimit} bytes for now.
     */
    static JsonObject encode(TaskRange range, int limit, int presentLimit, boolean shortForm) {
        if (maxLength(range) <= limit) {
            return encode(range);
        }
        JsonObject json = encode(range);
        if (length(json) <= limit) {
            return json;
        }
        thin(range.pullDurations());
        thin(range.runDurations());
        json = encode(range);
        if (length(json) <= limit) {
            return json;
        }
        if (shortForm) {
            json = encodeShort(range);
            return length(json) <= limit ? json : null;
        }
        return length(json) <= presentLimit ? json : null;
    }

    private static int length(JsonObject json) {
        return json.toString().length();
    }

    /** No less than the length of the usual form, without writing it. */
    private static int maxLength(TaskRange range) {
        int durations = range.pullDurations().size() + range.runDurations().size();
        int length = 100 + range.size() / 2 + range.attempts().size() * 14 + 6 * durations;
        for (Claim claim : range.claims()) {
            length += 48 + claim.machine().length() + claim.quotaHolder().length();
        }
        for (String machine : range.lateMachines().values()) {
            length += 14 + machine.length();
        }
        return length;
    }

    /** Keeps quantiles of the durations. */
    private static void thin(IntArrayList durations) {
        if (durations.size() > KEPT_DURATIONS) {
            int[] sorted = durations.toIntArray();
            Arrays.sort(sorted);
            durations.clear();
            for (int i = 0; i < KEPT_DURATIONS; i++) {
                durations.add(sorted[(int) ((i + 0.5) * sorted.length / KEPT_DURATIONS)]);
            }
        }
    }

    /** The usual form, whatever its size. */
    static JsonObject encode(TaskRange range) {
        JsonObject json = new JsonObject();
        json.add(DONE, encodeDone(range));
        json.add(CLAIMS, encodeClaims(range));
        if (!range.attempts().isEmpty()) {
            JsonObject attempts = new JsonObject();
            range.attempts()
                    .int2LongEntrySet()
                    .forEach(entry -> attempts.addProperty(Integer.toString(entry.getIntKey()), entry.getLongValue()));
            json.add(ATTEMPTS, attempts);
        }
        if (!range.lateMachines().isEmpty()) {
            JsonObject late = new JsonObject();
            range.lateMachines()
                    .int2ObjectEntrySet()
                    .forEach(entry -> late.addProperty(Integer.toString(entry.getIntKey()), entry.getValue()));
            json.add(LATE, late);
        }
        json.add(PULL_DURATIONS, encodeDurations(range.pullDurations()));
        json.add(RUN_DURATIONS, encodeDurations(range.runDurations()));
        if (range.errors() > 0) {
            json.addProperty(ERRORS, range.errors());
        }
        return json;
    }

    private static JsonArray encodeDone(TaskRange range) {
        JsonArray words = new JsonArray();
        for (long word : range.done().toLongArray()) {
            words.add(Long.toHexString(word));
        }
        return words;
    }

    private static JsonArray encodeClaims(TaskRange range) {
        JsonArray claims = new JsonArray();
        for (Claim claim : range.claims()) {
            JsonArray values = new JsonArray();
            values.add(claim.task().index());
            values.add(claim.attempt());
            values.add(claim.machine());
            values.add(claim.incarnation());
            values.add(claim.claimedAt().toEpochMilli());
            if (!claim.quotaHolder().isEmpty()) {
                values.add(claim.quotaHolder());
            }
            claims.add(values);
        }
        return claims;
    }

    private static JsonArray encodeDurations(IntArrayList durations) {
        JsonArray json = new JsonArray();
        durations.forEach((int duration) -> json.add(duration));
        return json;
    }

    /** The form with compact claims; attempts appear only where no claim states them. */
    private static JsonObject encodeShort(TaskRange range) {
        JsonObject json = encode(range);
        json.add(CLAIMS, new JsonArray());
        json.add(COMPACT_CLAIMS, CompactClaimsCodec.encode(range.claims(), range.first()));
        JsonObject attempts = new JsonObject();
        range.attempts().int2LongEntrySet().forEach(entry -> {
            if (range.claim(entry.getIntKey()) == null) {
                attempts.addProperty(Integer.toString(entry.getIntKey()), entry.getLongValue());
            }
        });
        json.add(ATTEMPTS, attempts);
        return json;
    }

    // ---- reading

    /** Fills a range in which no task was ever claimed with a stored value of any form. */
    static void decode(JsonObject json, TaskRange range) throws MalformedMessageException {
        readField(range, DONE, () -> decodeDone(Json.texts(json, DONE), range));
        readField(range, CLAIMS, () -> decodeClaims(Json.array(json, CLAIMS), range));
        if (Json.has(json, COMPACT_CLAIMS)) {
            readField(range, COMPACT_CLAIMS, () -> decodeCompactClaims(Json.child(json, COMPACT_CLAIMS), range));
        }
        if (Json.has(json, ATTEMPTS)) {
            readField(range, ATTEMPTS, () -> decodeAttempts(Json.child(json, ATTEMPTS), range));
        }
        if (Json.has(json, LATE)) {
            readField(range, LATE, () -> decodeLate(Json.child(json, LATE), range));
        }
        readField(range, PULL_DURATIONS, () -> decodeDurations(json, PULL_DURATIONS, range.pullDurations()));
        readField(range, RUN_DURATIONS, () -> decodeDurations(json, RUN_DURATIONS, range.runDurations()));
        range.setErrors((int) Json.countOr(json, ERRORS, 0));
    }

    private static void readField(TaskRange range, String field, FieldReader reader) throws MalformedMessageException {
        try {
            reader.read();
        } catch (IllegalStateException
                | NumberFormatException
                | UnsupportedOperationException
                | IndexOutOfBoundsException e) {
            throw new MalformedMessageException(field + " of the tasks of " + range.job() + " is of the wrong form");
        }
    }

    private static void decodeDone(List<String> words, TaskRange range) {
        for (int word = 0; word < words.size(); word++) {
            long bits = Long.parseUnsignedLong(words.get(word), 16);
            for (int bit = 0; bit < Long.SIZE; bit++) {
                if ((bits >>> bit & 1) != 0) {
                    range.done().set(word * Long.SIZE + bit);
                }
            }
        }
    }

    private static void decodeClaims(JsonArray claims, TaskRange range) {
        for (JsonElement element : claims) {
            JsonArray values = element.getAsJsonArray();
            range.putClaim(new Claim(
                    new TaskId(range.job(), values.get(0).getAsInt()),
                    values.get(1).getAsLong(),
                    values.get(2).getAsString(),
                    values.get(3).getAsLong(),
                    Instant.ofEpochMilli(values.get(4).getAsLong()),
                    values.size() > CLAIM_WITHOUT_HOLDER
                            ? values.get(CLAIM_WITHOUT_HOLDER).getAsString()
                            : ""));
        }
    }

    private static void decodeCompactClaims(JsonObject json, TaskRange range) throws MalformedMessageException {
        for (Claim claim : CompactClaimsCodec.decode(json, range.job(), range.first())) {
            range.putClaim(claim);
            range.attempts().put(claim.task().index(), claim.attempt());
        }
    }

    private static void decodeAttempts(JsonObject json, TaskRange range) {
        for (Map.Entry<String, JsonElement> entry : json.entrySet()) {
            range.attempts()
                    .put(Integer.parseInt(entry.getKey()), entry.getValue().getAsLong());
        }
    }

    private static void decodeLate(JsonObject json, TaskRange range) {
        for (Map.Entry<String, JsonElement> entry : json.entrySet()) {
            range.lateMachines()
                    .put(Integer.parseInt(entry.getKey()), entry.getValue().getAsString());
        }
    }

    private static void decodeDurations(JsonObject json, String field, IntArrayList durations)
            throws MalformedMessageException {
        Json.array(json, field).forEach(duration -> durations.add(duration.getAsInt()));
    }
}
