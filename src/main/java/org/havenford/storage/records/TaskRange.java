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
    private final IntArrayList fetches = new IntArrayList();

    private final IntArrayList runs = new IntArrayList();
    private int errors;

    /** A record of tasks that were never claimed. */
    public TaskRange(String job, int first, int size) {
        this.job = job;
        this.first = first;
        this.size = size;
    }

    /** An independent copy, to be changed and stored. */
    public TaskRange copy() {
        TaskRange c = new TaskRange(job, first, size);
        c.done.or(done);
        c.claims.putAll(claims);
        c.attempts.putAll(attempts);
        c.late.putAll(late);
        c.fetches.addAll(fetches);
        c.runs.addAll(runs);
        c.errors = errors;
        return c;
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
    public IntArrayList fetches() {
        return fetches;
    }

    /** Durations of runs, in tenths of a second. */
    public IntArrayList runs() {
        return runs;
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
        Claim c = new Claim(new TaskId(job, task), attempt, machine, session, at, account);
        claims.put(task, c);
        return c;
    }

    /** Marks a task as done; seconds are negative where they were not seen. */
    public void finish(int task, double fetchSeconds, double runSeconds) {
        claims.remove(task);
        attempts.remove(task);
        done.set(task - first);
        errors = 0;
        if (fetchSeconds >= 0) {
            fetches.add((int) Math.round(fetchSeconds * 10));
        }
        if (runSeconds >= 0) {
            runs.add((int) Math.round(runSeconds * 10));
        }
    }

    /** Gives a claim up, so that the task can be claimed again. */
    public void release(int task, boolean forLateness, boolean failed) {
        Claim c = claims.remove(task);
        if (c != null && forLateness) {
            late.put(task, c.machine());
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
        JsonObject o = toJson();
        if (o.toString().length() <= limit) {
            return o;
        }
        thin(fetches);
        thin(runs);
        o = toJson();
        if (o.toString().length() <= limit) {
            return o;
        }
        if (shortForm) {
            o = toShortJson();
            return o.toString().length() <= limit ? o : null;
        }
        return o.toString().length() <= presentLimit ? o : null;
    }

    /** No less than the length of the usual form, without writing it. */
    private int estimate() {
        int n = 100 + size / 2 + attempts.size() * 14 + 6 * (fetches.size() + runs.size());
        for (Claim c : claims.values()) {
            n += 48 + c.machine().length() + c.account().length();
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
        JsonObject o = toJson();
        o.add("c", new JsonArray());
        List<String> accounts = new ArrayList<>();
        String prefix = null;
        long base = Long.MAX_VALUE;
        for (Claim c : claims.values()) {
            prefix = prefix == null ? c.machine() : Strings.commonPrefix(prefix, c.machine());
            base = Math.min(base, c.at().toEpochMilli());
        }
        StringBuilder text = new StringBuilder();
        for (Claim c : claims.values()) {
            if (!accounts.contains(c.account())) {
                accounts.add(c.account());
            }
            text.append(text.isEmpty() ? "" : ";")
                    .append(c.task().index() - first)
                    .append(' ')
                    .append(c.attempt())
                    .append(' ')
                    .append(c.machine().substring(prefix.length()))
                    .append(' ')
                    .append(c.session())
                    .append(' ')
                    .append(c.at().toEpochMilli() - base)
                    .append(' ')
                    .append(accounts.indexOf(c.account()));
        }
        JsonObject s = new JsonObject();
        s.addProperty("p", prefix == null ? "" : prefix);
        s.addProperty("t", claims.isEmpty() ? 0 : base);
        JsonArray a = new JsonArray();
        accounts.forEach(a::add);
        s.add("a", a);
        s.addProperty("c", text.toString());
        o.add("s", s);
        JsonObject n = new JsonObject();
        attempts.int2LongEntrySet().forEach(e -> {
            if (!claims.containsKey(e.getIntKey())) {
                n.addProperty(Integer.toString(e.getIntKey()), e.getLongValue());
            }
        });
        o.add("n", n);
        return o;
    }

    private void readShort(JsonObject s) throws Json.BadMessage {
        String prefix = Json.text(s, "p");
        long base = Json.count(s, "t");
        List<String> accounts = Json.texts(s, "a");
        String text = Json.text(s, "c");
        for (String one : text.isEmpty() ? new String[0] : text.split(";")) {
            String[] w = one.split(" ", -1);
            Claim c = new Claim(
                    new TaskId(job, first + Integer.parseInt(w[0])),
                    Long.parseLong(w[1]),
                    prefix + w[2],
                    Long.parseLong(w[3]),
                    Instant.ofEpochMilli(base + Long.parseLong(w[4])),
                    accounts.get(Integer.parseInt(w[5])));
            claims.put(c.task().index(), c);
            attempts.put(c.task().index(), c.attempt());
        }
    }

    /** The usual form of the stored value, whatever its size. */
    public JsonObject toJson() {
        JsonObject o = new JsonObject();
        JsonArray d = new JsonArray();
        for (long word : done.toLongArray()) {
            d.add(Long.toHexString(word));
        }
        o.add("d", d);
        JsonArray c = new JsonArray();
        for (Claim claim : claims.values()) {
            JsonArray a = new JsonArray();
            a.add(claim.task().index());
            a.add(claim.attempt());
            a.add(claim.machine());
            a.add(claim.session());
            a.add(claim.at().toEpochMilli());
            if (!claim.account().isEmpty()) {
                a.add(claim.account());
            }
            c.add(a);
        }
        o.add("c", c);
        if (!attempts.isEmpty()) {
            JsonObject n = new JsonObject();
            attempts.int2LongEntrySet().forEach(e -> n.addProperty(Integer.toString(e.getIntKey()), e.getLongValue()));
            o.add("n", n);
        }
        if (!late.isEmpty()) {
            JsonObject l = new JsonObject();
            late.int2ObjectEntrySet().forEach(e -> l.addProperty(Integer.toString(e.getIntKey()), e.getValue()));
            o.add("l", l);
        }
        o.add("f", numbers(fetches));
        o.add("r", numbers(runs));
        if (errors > 0) {
            o.addProperty("x", errors);
        }
        return o;
    }

    private static JsonArray numbers(IntArrayList list) {
        JsonArray a = new JsonArray();
        list.forEach((int i) -> a.add(i));
        return a;
    }

    /** Fills this fresh chunk with what the store holds. */
    public TaskRange read(JsonObject o) throws Json.BadMessage {
        try {
            List<String> words = Json.texts(o, "d");
            for (int w = 0; w < words.size(); w++) {
                long bits = Long.parseUnsignedLong(words.get(w), 16);
                for (int b = 0; b < 64; b++) {
                    if ((bits >>> b & 1) != 0) {
                        done.set(w * 64 + b);
                    }
                }
            }
            for (JsonElement e : Json.array(o, "c")) {
                JsonArray a = e.getAsJsonArray();
                Claim c = new Claim(
                        new TaskId(job, a.get(0).getAsInt()),
                        a.get(1).getAsLong(),
                        a.get(2).getAsString(),
                        a.get(3).getAsLong(),
                        Instant.ofEpochMilli(a.get(4).getAsLong()),
                        a.size() > 5 ? a.get(5).getAsString() : "");
                claims.put(c.task().index(), c);
            }
            if (Json.has(o, "s")) {
                readShort(Json.child(o, "s"));
            }
            if (Json.has(o, "n")) {
                Json.child(o, "n")
                        .entrySet()
                        .forEach(e -> attempts.put(
                                Integer.parseInt(e.getKey()), e.getValue().getAsLong()));
            }
            if (Json.has(o, "l")) {
                Json.child(o, "l")
                        .entrySet()
                        .forEach(e -> late.put(
                                Integer.parseInt(e.getKey()), e.getValue().getAsString()));
            }
            Json.array(o, "f").forEach(e -> fetches.add(e.getAsInt()));
            Json.array(o, "r").forEach(e -> runs.add(e.getAsInt()));
        } catch (IllegalStateException
                | NumberFormatException
                | UnsupportedOperationException
                | IndexOutOfBoundsException e) {
            throw new Json.BadMessage("tasks of " + job + " can't be read");
        }
        errors = (int) Json.countOr(o, "x", 0);
        return this;
    }
}
