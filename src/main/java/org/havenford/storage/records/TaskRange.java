package org.havenford.storage.records;

import com.google.gson.JsonObject;
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectRBTreeMap;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.protocol.TaskId;

/**
 * The state of some consecutive tasks of a job, kept under one key so that it changes as a whole. A key that does not
 * exist yet stands for tasks that were never claimed, which keeps a large job small.
 */
public final class TaskRange {
    /** Failures are counted up to here. */
    private static final int MAX_ERRORS = 1000;

    private static final int TENTHS_PER_SECOND = 10;

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

    /** Durations of image pulls, in tenths of a second. */
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
        List<TaskId> pending = new ArrayList<>();
        for (int i = first; i < first + size; i++) {
            if (!done.get(i - first) && !claims.containsKey(i)) {
                pending.add(new TaskId(job, i));
            }
        }
        return pending;
    }

    /** Number of tasks that are neither done nor claimed. */
    public int pendingCount() {
        return size - done.cardinality() - claims.size();
    }

    /** Claims a task for an incarnation of a machine, as its next attempt. */
    public Claim claim(int task, String machine, long incarnation, Instant at, String quotaHolder) {
        long attempt = attempts.get(task) + 1;
        attempts.put(task, attempt);
        Claim claim = new Claim(new TaskId(job, task), attempt, machine, incarnation, at, quotaHolder);
        claims.put(task, claim);
        return claim;
    }

    /** Marks a task as done; seconds are negative where they were not seen. */
    public void finish(int task, double pullSeconds, double runSeconds) {
        claims.remove(task);
        attempts.remove(task);
        done.set(task - first);
        errors = 0;
        if (pullSeconds >= 0) {
            pullDurations.add((int) Math.round(pullSeconds * TENTHS_PER_SECOND));
        }
        if (runSeconds >= 0) {
            runDurations.add((int) Math.round(runSeconds * TENTHS_PER_SECOND));
        }
    }

    /** Gives a claim up, so that the task can be claimed again. */
    public void release(int task, boolean forLateness, boolean failed) {
        Claim claim = claims.remove(task);
        if (claim != null && forLateness) {
            late.put(task, claim.machine());
        }
        if (failed) {
            errors = Math.min(MAX_ERRORS, errors + 1);
        }
    }

    /**
     * What to write so that the value keeps to {@code limit} bytes; null if nothing does. Durations are thinned out first,
     * which moves their median little. Then comes the short form of the claims, for readers of format 2 alone; while there
     * are others, what the version before wrote larger stays as large as it may be for now.
     */
    public JsonObject toJson(int limit, int presentLimit, boolean shortForm) {
        return TaskRangeCodec.encode(this, limit, presentLimit, shortForm);
    }

    /** The usual form of the stored value, whatever its size. */
    public JsonObject toJson() {
        return TaskRangeCodec.encode(this);
    }

    /** Fills this range, in which no task was ever claimed, with what the store holds. */
    public TaskRange read(JsonObject json) throws MalformedMessageException {
        TaskRangeCodec.decode(json, this);
        return this;
    }

    // ---- for the codec

    String job() {
        return job;
    }

    /** Index of the first task. */
    int first() {
        return first;
    }

    /** Tasks that are done, counted from the first. */
    BitSet done() {
        return done;
    }

    /** Latest attempts of tasks that are not done, by task. */
    Int2LongOpenHashMap attempts() {
        return attempts;
    }

    /** Machines on which tasks were late, by task. */
    Int2ObjectOpenHashMap<String> lateMachines() {
        return late;
    }

    void putClaim(Claim claim) {
        claims.put(claim.task().index(), claim);
    }

    void setErrors(int errors) {
        this.errors = errors;
    }
}
