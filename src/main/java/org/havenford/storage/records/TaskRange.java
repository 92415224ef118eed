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
 * The state of consecutive tasks of a job, stored under one key so that it changes atomically. The key does not exist
 * until one of the tasks is claimed, so that a large job needs little space at first.
 */
public final class TaskRange {
    /** Upper limit of the failure count. */
    private static final int MAX_FAILURES = 1000;

    private static final int TENTHS_PER_SECOND = 10;

    private final String job;
    private final int first;
    private final int size;
    private final BitSet done = new BitSet();
    private final Int2ObjectRBTreeMap<Claim> claims = new Int2ObjectRBTreeMap<>();
    private final Int2LongOpenHashMap attempts = new Int2LongOpenHashMap();
    /** The machines on which tasks were stopped as stragglers, by task. */
    private final Int2ObjectOpenHashMap<String> stragglerMachines = new Int2ObjectOpenHashMap<>();
    /** Durations of completed image pulls, in tenths of a second. */
    private final IntArrayList pullDurations = new IntArrayList();
    /** Durations of completed runs, in tenths of a second. */
    private final IntArrayList runDurations = new IntArrayList();

    private int failuresSinceSuccess;

    /** Creates a range of tasks that were never claimed. */
    public TaskRange(String job, int first, int size) {
        this.job = job;
        this.first = first;
        this.size = size;
    }

    /** Returns an independent copy that can be changed and stored. */
    public TaskRange copy() {
        TaskRange taskRange = new TaskRange(job, first, size);
        taskRange.done.or(done);
        taskRange.claims.putAll(claims);
        taskRange.attempts.putAll(attempts);
        taskRange.stragglerMachines.putAll(stragglerMachines);
        taskRange.pullDurations.addAll(pullDurations);
        taskRange.runDurations.addAll(runDurations);
        taskRange.failuresSinceSuccess = failuresSinceSuccess;
        return taskRange;
    }

    /** Returns the number of tasks in the range. */
    public int size() {
        return size;
    }

    /** Returns the claims that have not been released, in the order of their tasks. */
    public Collection<Claim> claims() {
        return claims.values();
    }

    /** Returns the claim of a task, or null if the task is not claimed. */
    public Claim claim(int task) {
        return claims.get(task);
    }

    /** Returns the number of tasks that are done. */
    public int doneCount() {
        return done.cardinality();
    }

    /** Returns whether all tasks are done. */
    public boolean complete() {
        return done.cardinality() == size;
    }

    /** Returns whether a task was stopped as a straggler, to be restarted on another machine. */
    public boolean wasStraggler(int task) {
        return stragglerMachines.containsKey(task);
    }

    /** Returns the machine on which a task was last stopped as a straggler, or null. */
    public String stragglerMachine(int task) {
        return stragglerMachines.get(task);
    }

    /** Returns the durations of completed image pulls, in tenths of a second. */
    public IntArrayList pullDurations() {
        return pullDurations;
    }

    /** Returns the durations of completed runs, in tenths of a second. */
    public IntArrayList runDurations() {
        return runDurations;
    }

    /** Returns the number of failures since a task of the range last succeeded. */
    public int failuresSinceSuccess() {
        return failuresSinceSuccess;
    }

    /** Returns the tasks that are neither done nor claimed. */
    public List<TaskId> pending() {
        List<TaskId> pending = new ArrayList<>();
        for (int i = first; i < first + size; i++) {
            if (!done.get(i - first) && !claims.containsKey(i)) {
                pending.add(new TaskId(job, i));
            }
        }
        return pending;
    }

    /** Returns the number of tasks that are neither done nor claimed. */
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

    /** Marks a task as done; a duration is negative if it is unknown. */
    public void finish(int task, double pullSeconds, double runSeconds) {
        claims.remove(task);
        attempts.remove(task);
        done.set(task - first);
        failuresSinceSuccess = 0;
        if (pullSeconds >= 0) {
            pullDurations.add((int) Math.round(pullSeconds * TENTHS_PER_SECOND));
        }
        if (runSeconds >= 0) {
            runDurations.add((int) Math.round(runSeconds * TENTHS_PER_SECOND));
        }
    }

    /**
     * Releases the claim of a task, so that the task can be claimed again.
     *
     * @param straggler whether the attempt was stopped as a straggler
     * @param failed whether the attempt failed
     */
    public void release(int task, boolean straggler, boolean failed) {
        Claim claim = claims.remove(task);
        if (claim != null && straggler) {
            stragglerMachines.put(task, claim.machine());
        }
        if (failed) {
            failuresSinceSuccess = Math.min(MAX_FAILURES, failuresSinceSuccess + 1);
        }
    }

    /**
     * Returns the value to store, of at most {@code limit} bytes if possible. If the usual form is larger, the
     * durations are downsampled in this range, which changes their medians little. If that does not suffice, the claims
     * are written in compact form.
     *
     * @param currentLimit the limit in bytes as long as {@code allowCompact} is false: an earlier version may already
     *     have stored a larger value than {@code limit}
     * @param allowCompact whether all controllers read the compact form, which was added with format 2
     * @return null if no allowed form is small enough
     */
    public JsonObject toJson(int limit, int currentLimit, boolean allowCompact) {
        return TaskRangeCodec.encode(this, limit, currentLimit, allowCompact);
    }

    /** Returns the value to store in the usual form, regardless of its size. */
    public JsonObject toJson() {
        return TaskRangeCodec.encode(this);
    }

    /** Decodes a stored value into this range, none of whose tasks may have been claimed before. */
    public TaskRange read(JsonObject json) throws MalformedMessageException {
        TaskRangeCodec.decode(json, this);
        return this;
    }

    String job() {
        return job;
    }

    /** Returns the index of the first task. */
    int first() {
        return first;
    }

    /** Returns the tasks that are done, as offsets from the first task. */
    BitSet done() {
        return done;
    }

    /** Returns the numbers of the latest attempts of the tasks that are not done, by task. */
    Int2LongOpenHashMap attempts() {
        return attempts;
    }

    /** Returns the machines on which tasks were stopped as stragglers, by task. */
    Int2ObjectOpenHashMap<String> stragglerMachines() {
        return stragglerMachines;
    }

    void putClaim(Claim claim) {
        claims.put(claim.task().index(), claim);
    }

    void setFailuresSinceSuccess(int failures) {
        this.failuresSinceSuccess = failures;
    }
}
