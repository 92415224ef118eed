package org.havenford.storage.records;

import com.google.gson.JsonObject;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;

/** An accepted job that is not over, with its tasks. */
public final class Job {
    // Stored field names; versions in production read and write them, so they must not change.
    private static final String SUBMITTED_AT = "_at";
    private static final String TASK_RANGE_SIZE = "_chunk";
    private static final String CANCELLED = "_cancelled";
    private static final String DEPENDENCIES_DONE_AT = "_ready";

    private static final int MIN_TASK_RANGE_SIZE = 16;
    /** Durations are kept in tenths of a second. */
    private static final int MILLIS_PER_TENTH = 100;

    private final JobSpec spec;
    private final Instant submittedAt;
    private final int taskRangeSize;
    private final boolean cancelled;
    /** When all that the job awaits was found to be done in the store; null while it waits, or where it awaits nothing. */
    private final Instant dependenciesDoneAt;

    private final TaskRange[] taskRanges;
    private int done;
    private int claimed;
    private int errors;
    /** Medians of the phases, worked out when asked for after a change. */
    private boolean mediansKnown;

    private Duration medianPull;
    private Duration medianRun;

    /** A job that was just accepted, or one that awaits no other. */
    public Job(JobSpec spec, Instant submittedAt, int taskRangeSize, boolean cancelled) {
        this(spec, submittedAt, taskRangeSize, cancelled, null);
    }

    private Job(JobSpec spec, Instant submittedAt, int taskRangeSize, boolean cancelled, Instant dependenciesDoneAt) {
        this.dependenciesDoneAt = dependenciesDoneAt;
        this.spec = spec;
        this.submittedAt = submittedAt;
        this.taskRangeSize = taskRangeSize;
        this.cancelled = cancelled;
        this.taskRanges = new TaskRange[(spec.taskCount() + taskRangeSize - 1) / taskRangeSize];
    }

    /** Tasks per key, so that a full task range stays within the value limit. */
    public static int taskRangeSize(int valueBytes) {
        // Small values take more tasks than full records would allow: those are written in the short form.
        return Math.max(Math.min(32, (valueBytes - 250) / 56), Math.max(4, Math.min(64, (valueBytes - 600) / 130)));
    }

    /** Tasks per key, so that the controllers can share a job by its keys; none so small that a write says little. */
    public static int taskRangeSize(int valueBytes, int tasks, int controllers, boolean scarceChanges) {
        int even = (tasks + controllers - 1) / Math.max(1, controllers);
        return Math.min(
                taskRangeSize(valueBytes),
                Math.max(scarceChanges ? 2 * MIN_TASK_RANGE_SIZE : MIN_TASK_RANGE_SIZE, even));
    }

    /** The job as its user described it. */
    public JobSpec spec() {
        return spec;
    }

    /** The id that its user chose. */
    public String id() {
        return spec.id();
    }

    /** When the job was accepted, by the clock of the controller that accepted it. */
    public Instant submittedAt() {
        return submittedAt;
    }

    /** Whether the job's cancellation was confirmed to its user. */
    public boolean cancelled() {
        return cancelled;
    }

    /** Whether jobs that this one needs are not known to be done: then none of its tasks may be claimed. */
    public boolean awaitsDependencies() {
        return dependenciesDoneAt == null && !spec.dependencies().isEmpty();
    }

    /** From when on the job could start: its times count from here, its deadline from the submission. */
    public Instant releasedAt() {
        return dependenciesDoneAt == null ? submittedAt : dependenciesDoneAt;
    }

    /** Number of records that hold the job's tasks. */
    public int taskRangeCount() {
        return taskRanges.length;
    }

    /** Index of the record that holds a task. */
    public int taskRangeIndex(int task) {
        return task / taskRangeSize;
    }

    /** The task range, or null when none of its tasks was ever claimed. */
    public TaskRange storedTaskRange(int index) {
        return taskRanges[index];
    }

    /** The record, a fresh one if none of its tasks was ever claimed. */
    public TaskRange taskRange(int index) {
        return taskRanges[index] == null ? emptyTaskRange(index) : taskRanges[index];
    }

    /** A record in which no task was ever claimed. */
    public TaskRange emptyTaskRange(int index) {
        int first = index * taskRangeSize;
        return new TaskRange(id(), first, Math.min(taskRangeSize, spec.taskCount() - first));
    }

    /** Puts a record in place of the one before; null if it was deleted. */
    public void replace(int index, TaskRange taskRange) {
        count(taskRanges[index], -1);
        taskRanges[index] = taskRange;
        count(taskRange, 1);
        mediansKnown = false;
    }

    private void count(TaskRange taskRange, int sign) {
        if (taskRange != null) {
            done += sign * taskRange.doneCount();
            claimed += sign * taskRange.claims().size();
            errors += sign * taskRange.errors();
        }
    }

    /** The claim of a task, or null. */
    public Claim claim(int task) {
        TaskRange taskRange = task < spec.taskCount() ? taskRanges[taskRangeIndex(task)] : null;
        return taskRange == null ? null : taskRange.claim(task);
    }

    /** Number of tasks that are done. */
    public int doneCount() {
        return done;
    }

    /** All claims of the job's tasks. */
    public List<Claim> claims() {
        List<Claim> claims = new ArrayList<>();
        for (TaskRange taskRange : taskRanges) {
            if (taskRange != null) {
                claims.addAll(taskRange.claims());
            }
        }
        return claims;
    }

    /** Number of claimed tasks. */
    public int claimCount() {
        return claimed;
    }

    /** Number of tasks that are neither done nor claimed. */
    public int pendingCount() {
        return spec.taskCount() - done - claimed;
    }

    /** Failures since the last success, summed over the records. */
    public int errors() {
        return errors;
    }

    /** The median duration of the tasks' image pulls, or null while there are none. */
    public Duration medianPull() {
        findMedians();
        return medianPull;
    }

    /** The median duration of the tasks' runs, or null while there are none. */
    public Duration medianRun() {
        findMedians();
        return medianRun;
    }

    private void findMedians() {
        if (!mediansKnown) {
            mediansKnown = true;
            medianPull = median(TaskRange::pullDurations);
            medianRun = median(TaskRange::runDurations);
        }
    }

    private Duration median(Function<TaskRange, IntArrayList> durations) {
        IntArrayList all = new IntArrayList();
        for (TaskRange taskRange : taskRanges) {
            if (taskRange != null) {
                all.addAll(durations.apply(taskRange));
            }
        }
        if (all.isEmpty()) {
            return null;
        }
        all.sort(null);
        int half = all.size() / 2;
        double middle = all.size() % 2 == 1 ? all.getInt(half) : (all.getInt(half - 1) + all.getInt(half)) / 2.0;
        return Duration.ofMillis((long) (middle * MILLIS_PER_TENTH));
    }

    /** When the job should be done; jobs without a deadline get none. */
    public Instant deadline() {
        return spec.deadline() == null ? null : submittedAt.plus(spec.deadline());
    }

    /** The stored header, cancelled or not. */
    public JsonObject header(boolean withCancel) {
        JsonObject json = spec.toJson();
        json.addProperty(SUBMITTED_AT, submittedAt.toEpochMilli());
        json.addProperty(TASK_RANGE_SIZE, taskRangeSize);
        if (withCancel) {
            json.addProperty(CANCELLED, true);
        }
        if (dependenciesDoneAt != null) {
            json.addProperty(DEPENDENCIES_DONE_AT, dependenciesDoneAt.toEpochMilli());
        }
        return json;
    }

    /** The header that lets the job's tasks be claimed. */
    public JsonObject readyHeader(Instant at) {
        return new Job(spec, submittedAt, taskRangeSize, cancelled, at).header(cancelled);
    }

    /** Reads a stored header of this version or of an earlier one. */
    public static Job parse(JsonObject json) throws MalformedMessageException {
        return new Job(
                JobSpec.parse(json),
                Instant.ofEpochMilli(Json.count(json, SUBMITTED_AT)),
                (int) Math.max(1, Json.count(json, TASK_RANGE_SIZE)),
                Json.flagOr(json, CANCELLED, false),
                Json.has(json, DEPENDENCIES_DONE_AT)
                        ? Instant.ofEpochMilli(Json.count(json, DEPENDENCIES_DONE_AT))
                        : null);
    }
}
