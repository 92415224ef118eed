package org.havenford.storage.records;

import com.google.common.base.Strings;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectRBTreeMap;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import org.havenford.protocol.Json;
import org.havenford.protocol.TaskId;

/**
 * The state of some consecutive tasks of a job, kept under one key so that it changes as a whole. A key that does not
 * exist yet stands for tasks that were never claimed, which keeps a large job small.
 */
public final class TaskRange {
    /** Durations that stay when there is no room for all. */
    private static final int KEPT_DURATIONS = 9;

    private final String job;
    private final int first;
    private final int size;
    private final BitSet done = new BitSet();
    private final Int2ObjectRBTreeMap<Claim> claims = new Int2ObjectRBTreeMap<>();
    private final Int2LongOpenHashMap attempts = new Int2LongOpenHashMap();
    /** Tasks restarted for lateness, with the machine that each was late on. */
    private final Int2ObjectOpenHashMap<String> late = new Int2ObjectOpenHashMap<>();
    /** Durations of finished phases, in tenths of a second. */
    private final IntArrayList pullDurations = new IntArrayList();

    private final IntArrayList runDurations = new IntArrayList();
    private int errors;

    /** A record of tasks that were never claimed. */
    public TaskRange(String job, int first, int size) {
        this.job = job;
        this.first = first;
        this.size = size;
    }

    /** An independent copy, to be changed and stored. */
    public TaskRange copy() {
        TaskRange taskRange = new TaskRange(job, first, size);
        taskRange.done.or(done);
        taskRange.claims.putAll(claims);
        taskRange.attempts.putAll(attempts);
        taskRange.late.putAll(late);
        taskRange.pullDurations.addAll(pullDurations);
        taskRange.runDurations.addAll(runDurations);
        taskRange.errors = errors;
        return taskRange;
    }

    /** Number of tasks in this record. */
    public int size() {
        return size;
    }

    /** Claims of tasks that are not known to have ended, by task. */
    public Collection<Claim> claims() {
        return claims.values();
    }

    /** The claim of a task, or null. */
    public Claim claim(int task) {
        return claims.get(task);
    }

    /** Number of tasks that are done. */
    public int doneCount() {
        return done.cardinality();
    }

    /** Whether all tasks are done. */
    public boolean complete() {
        return done.cardinality() == size;
    }

    /** Whether a task was restarted for lateness. */
    public boolean wasLate(int task) {
        return late.containsKey(task);
    }

    /** The machine on which a task was late, or null. */
    public String lateOn(int task) {
        return late.get(task);
    }

    /** Durations of image fetches, in tenths of a second. */
    public IntArrayList pullDurations() {
        return pullDurations;
    }

    /** Durations of runs, in tenths of a second. */
    public IntArrayList runDurations() {
        return runDurations;
    }

    /** Failures since the last success. */
    public int errors() {
        return errors;
    }

    /** Tasks that are neither done nor claimed. */
    public List<TaskId> pending() {
        List<TaskId> out = new ArrayList<>();
        for (int i = first; i < first + size; i++) {
            if (!done.get(i - first) && !claims.containsKey(i)) {
                out.add(new TaskId(job, i));
            }
        }
        return out;
    }

    /** Number of tasks that are neither done nor claimed. */
    public int pendingCount() {
        return size - done.cardinality() - claims.size();
    }

    /** Claims a task for a session of a machine, as its next attempt. */
    public Claim claim(int task, String machine, long session, Instant at, String account) {
        long attempt = attempts.get(task) + 1;
        attempts.put(task, attempt);
        Claim claim = new Claim(new TaskId(job, task), attempt, machine, session, at, account);
        claims.put(task, claim);
        return claim;
    }

    /** Marks a task as done; seconds are negative where they were not seen. */
    public void finish(int task, double fetchSeconds, double runSeconds) {
        claims.remove(task);
        attempts.remove(task);
        done.set(task - first);
        errors = 0;
        if (fetchSeconds >= 0) {
            pullDurations.add((int) Math.round(fetchSeconds * 10));
        }
        if (runSeconds >= 0) {
            runDurations.add((int) Math.round(runSeconds * 10));
        }
    }

    /** Gives a claim up, so that the task can be claimed again. */
    public void release(int task, boolean forLateness, boolean failed) {
        Claim claim = claims.remove(task);
        if (claim != null && forLateness) {
            late.put(task, claim.machine());
        }
        if (failed) {
            errors = Math.min(1000, errors + 1);
        }
    }

    /**
     * What to write so that the value keeps to {@code limit} bytes; null if nothing does. Durations are thinned out first,
     * which moves their median little. Then comes the short form of the claims, for readers of format 2 alone; while there
     * are others, what the version before wrote larger stays as large as it may be for now.
     */
    public JsonObject toJson(int limit, int presentLimit, boolean shortForm) {
        if (estimate() <= limit) {
            return toJson();
        }
        JsonObject json = toJson();
        if (json.toString().length() <= limit) {
            return json;
        }
        thin(pullDurations);
        thin(runDurations);
        json = toJson();
        if (json.toString().length() <= limit) {
            return json;
        }
        if (shortForm) {
            json = toShortJson();
            return json.toString().length() <= limit ? json : null;
        }
        return json.toString().length() <= presentLimit ? json : null;
    }

    /** No less than the length of the usual form, without writing it. */
    private int estimate() {
        int n = 100 + size / 2 + attempts.size() * 14 + 6 * (pullDurations.size() + runDurations.size());
        for (Claim claim : claims.values()) {
            n += 48 + claim.machine().length() + claim.quotaHolder().length();
        }
        for (String machine : late.values()) {
            n += 14 + machine.length();
        }
        return n;
    }

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

    /** Claims as one text, with what they share said once; attempts only where a claim does not say them. */
    private JsonObject toShortJson() {
        JsonObject json = toJson();
        json.add("c", new JsonArray());
        List<String> accounts = new ArrayList<>();
        String prefix = null;
        long base = Long.MAX_VALUE;
        for (Claim claim : claims.values()) {
            prefix = prefix == null ? claim.machine() : Strings.commonPrefix(prefix, claim.machine());
            base = Math.min(base, claim.claimedAt().toEpochMilli());
        }
        StringBuilder text = new StringBuilder();
        for (Claim claim : claims.values()) {
            if (!accounts.contains(claim.quotaHolder())) {
                accounts.add(claim.quotaHolder());
            }
            text.append(text.isEmpty() ? "" : ";")
                    .append(claim.task().index() - first)
                    .append(' ')
                    .append(claim.attempt())
                    .append(' ')
                    .append(claim.machine().substring(prefix.length()))
                    .append(' ')
                    .append(claim.incarnation())
                    .append(' ')
                    .append(claim.claimedAt().toEpochMilli() - base)
                    .append(' ')
                    .append(accounts.indexOf(claim.quotaHolder()));
        }
        JsonObject s = new JsonObject();
        s.addProperty("p", prefix == null ? "" : prefix);
        s.addProperty("t", claims.isEmpty() ? 0 : base);
        JsonArray a = new JsonArray();
        accounts.forEach(a::add);
        s.add("a", a);
        s.addProperty("c", text.toString());
        json.add("s", s);
        JsonObject n = new JsonObject();
        attempts.int2LongEntrySet().forEach(e -> {
            if (!claims.containsKey(e.getIntKey())) {
                n.addProperty(Integer.toString(e.getIntKey()), e.getLongValue());
            }
        });
        json.add("n", n);
        return json;
    }

    private void readShort(JsonObject s) throws Json.BadMessage {
        String prefix = Json.text(s, "p");
        long base = Json.count(s, "t");
        List<String> accounts = Json.texts(s, "a");
        String text = Json.text(s, "c");
        for (String one : text.isEmpty() ? new String[0] : text.split(";")) {
            String[] w = one.split(" ", -1);
            Claim claim = new Claim(
                    new TaskId(job, first + Integer.parseInt(w[0])),
                    Long.parseLong(w[1]),
                    prefix + w[2],
                    Long.parseLong(w[3]),
                    Instant.ofEpochMilli(base + Long.parseLong(w[4])),
                    accounts.get(Integer.parseInt(w[5])));
            claims.put(claim.task().index(), claim);
            attempts.put(claim.task().index(), claim.attempt());
        }
    }

    /** The usual form of the stored value, whatever its size. */
    public JsonObject toJson() {
        JsonObject json = new JsonObject();
        JsonArray d = new JsonArray();
        for (long word : done.toLongArray()) {
            d.add(Long.toHexString(word));
        }
        json.add("d", d);
        JsonArray c = new JsonArray();
        for (Claim claim : claims.values()) {
            JsonArray a = new JsonArray();
            a.add(claim.task().index());
            a.add(claim.attempt());
            a.add(claim.machine());
            a.add(claim.incarnation());
            a.add(claim.claimedAt().toEpochMilli());
            if (!claim.quotaHolder().isEmpty()) {
                a.add(claim.quotaHolder());
            }
            c.add(a);
        }
        json.add("c", c);
        if (!attempts.isEmpty()) {
            JsonObject n = new JsonObject();
            attempts.int2LongEntrySet().forEach(e -> n.addProperty(Integer.toString(e.getIntKey()), e.getLongValue()));
            json.add("n", n);
        }
        if (!late.isEmpty()) {
            JsonObject l = new JsonObject();
            late.int2ObjectEntrySet().forEach(e -> l.addProperty(Integer.toString(e.getIntKey()), e.getValue()));
            json.add("l", l);
        }
        json.add("f", numbers(pullDurations));
        json.add("r", numbers(runDurations));
        if (errors > 0) {
            json.addProperty("x", errors);
        }
        return json;
    }

    private static JsonArray numbers(IntArrayList list) {
        JsonArray a = new JsonArray();
        list.forEach((int i) -> a.add(i));
        return a;
    }

    /** Fills this fresh chunk with what the store holds. */
    public TaskRange read(JsonObject json) throws Json.BadMessage {
        try {
            List<String> words = Json.texts(json, "d");
            for (int w = 0; w < words.size(); w++) {
                long bits = Long.parseUnsignedLong(words.get(w), 16);
                for (int b = 0; b < 64; b++) {
                    if ((bits >>> b & 1) != 0) {
                        done.set(w * 64 + b);
                    }
                }
            }
            for (JsonElement e : Json.array(json, "c")) {
                JsonArray a = e.getAsJsonArray();
                Claim claim = new Claim(
                        new TaskId(job, a.get(0).getAsInt()),
                        a.get(1).getAsLong(),
                        a.get(2).getAsString(),
                        a.get(3).getAsLong(),
                        Instant.ofEpochMilli(a.get(4).getAsLong()),
                        a.size() > 5 ? a.get(5).getAsString() : "");
                claims.put(claim.task().index(), claim);
            }
            if (Json.has(json, "s")) {
                readShort(Json.child(json, "s"));
            }
            if (Json.has(json, "n")) {
                Json.child(json, "n")
                        .entrySet()
                        .forEach(e -> attempts.put(
                                Integer.parseInt(e.getKey()), e.getValue().getAsLong()));
            }
            if (Json.has(json, "l")) {
                Json.child(json, "l")
                        .entrySet()
                        .forEach(e -> late.put(
                                Integer.parseInt(e.getKey()), e.getValue().getAsString()));
            }
            Json.array(json, "f").forEach(e -> pullDurations.add(e.getAsInt()));
            Json.array(json, "r").forEach(e -> runDurations.add(e.getAsInt()));
        } catch (IllegalStateException
                | NumberFormatException
                | UnsupportedOperationException
                | IndexOutOfBoundsException e) {
            throw new Json.BadMessage("tasks of " + job + " can't be read");
        }
        errors = (int) Json.countOr(json, "x", 0);
        return this;
    }
}
