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

/** Codec of the stored forms of a task range: the usual form, and smaller ones for when it exceeds the value limit. */
final class TaskRangeCodec {
    // Names of stored fields. Versions in production read and write them, so they must not change.
    private static final String DONE = "d";
    private static final String CLAIMS = "c";
    private static final String COMPACT_CLAIMS = "s";
    private static final String ATTEMPTS = "n";
    private static final String STRAGGLER_MACHINES = "l";
    private static final String PULL_DURATIONS = "f";
    private static final String RUN_DURATIONS = "r";
    private static final String ERRORS = "x";

    /** Number of durations that remain after downsampling. */
    private static final int DOWNSAMPLED_DURATIONS = 9;

    /** Index of the quota holder in a stored claim, which has no such element if the claim has no quota holder. */
    private static final int QUOTA_HOLDER_INDEX = 5;

    /** Decodes one field; the unchecked exceptions of conversions mean that the field is malformed. */
    private interface FieldDecoder {
        void decode() throws MalformedMessageException;
    }

    private TaskRangeCodec() {}

    /** Implements {@link TaskRange#toJson(int, int, boolean)}. */
    static JsonObject encode(TaskRange range, int limit, int currentLimit, boolean allowCompact) {
        if (lengthUpperBound(range) <= limit) {
            return encode(range);
        }
        JsonObject json = encode(range);
        if (length(json) <= limit) {
            return json;
        }
        downsample(range.pullDurations());
        downsample(range.runDurations());
        json = encode(range);
        if (length(json) <= limit) {
            return json;
        }
        if (allowCompact) {
            json = encodeWithCompactClaims(range);
            return length(json) <= limit ? json : null;
        }
        return length(json) <= currentLimit ? json : null;
    }

    private static int length(JsonObject json) {
        return json.toString().length();
    }

    /** Returns an upper bound of the length of the usual form, computed without encoding it. */
    private static int lengthUpperBound(TaskRange range) {
        int durations = range.pullDurations().size() + range.runDurations().size();
        int length = 100 + range.size() / 2 + range.attempts().size() * 14 + 6 * durations;
        for (Claim claim : range.claims()) {
            length += 48 + claim.machine().length() + claim.quotaHolder().length();
        }
        for (String machine : range.stragglerMachines().values()) {
            length += 14 + machine.length();
        }
        return length;
    }

    /** Replaces the durations by evenly spaced quantiles if there are more than {@link #DOWNSAMPLED_DURATIONS}. */
    private static void downsample(IntArrayList durations) {
        if (durations.size() > DOWNSAMPLED_DURATIONS) {
            int[] sorted = durations.toIntArray();
            Arrays.sort(sorted);
            durations.clear();
            for (int i = 0; i < DOWNSAMPLED_DURATIONS; i++) {
                durations.add(sorted[(int) ((i + 0.5) * sorted.length / DOWNSAMPLED_DURATIONS)]);
            }
        }
    }

    /** Returns the usual form, regardless of its size. */
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
        if (!range.stragglerMachines().isEmpty()) {
            JsonObject machines = new JsonObject();
            range.stragglerMachines()
                    .int2ObjectEntrySet()
                    .forEach(entry -> machines.addProperty(Integer.toString(entry.getIntKey()), entry.getValue()));
            json.add(STRAGGLER_MACHINES, machines);
        }
        json.add(PULL_DURATIONS, encodeDurations(range.pullDurations()));
        json.add(RUN_DURATIONS, encodeDurations(range.runDurations()));
        if (range.failuresSinceSuccess() > 0) {
            json.addProperty(ERRORS, range.failuresSinceSuccess());
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

    /**
     * Returns the form with compact claims; it lists attempts only for tasks without a claim, which contains the
     * attempt.
     */
    private static JsonObject encodeWithCompactClaims(TaskRange range) {
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

    /** Decodes a stored value of any form into a range none of whose tasks was ever claimed. */
    static void decode(JsonObject json, TaskRange range) throws MalformedMessageException {
        decodeField(range, DONE, () -> decodeDone(Json.texts(json, DONE), range));
        decodeField(range, CLAIMS, () -> decodeClaims(Json.array(json, CLAIMS), range));
        if (Json.has(json, COMPACT_CLAIMS)) {
            decodeField(range, COMPACT_CLAIMS, () -> decodeCompactClaims(Json.child(json, COMPACT_CLAIMS), range));
        }
        if (Json.has(json, ATTEMPTS)) {
            decodeField(range, ATTEMPTS, () -> decodeAttempts(Json.child(json, ATTEMPTS), range));
        }
        if (Json.has(json, STRAGGLER_MACHINES)) {
            decodeField(
                    range,
                    STRAGGLER_MACHINES,
                    () -> decodeStragglerMachines(Json.child(json, STRAGGLER_MACHINES), range));
        }
        decodeField(range, PULL_DURATIONS, () -> decodeDurations(json, PULL_DURATIONS, range.pullDurations()));
        decodeField(range, RUN_DURATIONS, () -> decodeDurations(json, RUN_DURATIONS, range.runDurations()));
        range.setFailuresSinceSuccess((int) Json.countOr(json, ERRORS, 0));
    }

    private static void decodeField(TaskRange range, String field, FieldDecoder decoder)
            throws MalformedMessageException {
        try {
            decoder.decode();
        } catch (IllegalStateException
                | NumberFormatException
                | UnsupportedOperationException
                | IndexOutOfBoundsException e) {
            throw new MalformedMessageException(field + " of the task range from task " + range.first() + " of "
                    + range.job() + " is malformed: " + e.getMessage());
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
                    values.size() > QUOTA_HOLDER_INDEX
                            ? values.get(QUOTA_HOLDER_INDEX).getAsString()
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

    private static void decodeStragglerMachines(JsonObject json, TaskRange range) {
        for (Map.Entry<String, JsonElement> entry : json.entrySet()) {
            range.stragglerMachines()
                    .put(Integer.parseInt(entry.getKey()), entry.getValue().getAsString());
        }
    }

    private static void decodeDurations(JsonObject json, String field, IntArrayList durations)
            throws MalformedMessageException {
        Json.array(json, field).forEach(duration -> durations.add(duration.getAsInt()));
    }
}
