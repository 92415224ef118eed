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

/** An accepted job that has not ended, with the state of its tasks. */
public final class Job {
    // Names of stored fields. Versions in production read and write them, so they must not change.
    private static final String SUBMITTED_AT = "_at";
    private static final String TASK_RANGE_SIZE = "_chunk";
    private static final String CANCELLED = "_cancelled";
    private static final String DEPENDENCIES_DONE_AT = "_ready";

    private static final int MIN_TASK_RANGE_SIZE = 16;
    /** Task ranges store durations in tenths of a second. */
    private static final int MILLIS_PER_TENTH = 100;

    private final JobSpec spec;
    private final Instant submittedAt;
    private final int taskRangeSize;
    private final boolean cancelled;
    /** When the store showed that all dependencies are done; null before that, and for jobs without dependencies. */
    private final Instant dependenciesDoneAt;

    private final TaskRange[] taskRanges;
    private int done;
    private int claimed;
    private int failuresSinceSuccess;
    /** Whether the medians reflect the current task ranges; they are computed on demand. */
    private boolean mediansCurrent;

    private Duration medianPull;
    private Duration medianRun;

    /** Creates a job that has just been accepted, or one without dependencies. */
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

    /**
     * Returns the largest number of tasks per task range whose stored value stays within a limit of {@code valueBytes}.
     */
    public static int taskRangeSize(int valueBytes) {
        // With a small limit, a full range may exceed it in the usual form; it is then stored in compact form.
        return Math.max(Math.min(32, (valueBytes - 250) / 56), Math.max(4, Math.min(64, (valueBytes - 600) / 130)));
    }

    /**
     * Returns the number of tasks per task range of a new job: small enough to divide the job evenly among the
     * controllers, but with a minimum, larger if writes are scarce, so that a write covers several tasks.
     */
    public static int taskRangeSize(int valueBytes, int tasks, int controllers, boolean hasScarceWrites) {
        int evenSize = (tasks + controllers - 1) / Math.max(1, controllers);
        return Math.min(
                taskRangeSize(valueBytes),
                Math.max(hasScarceWrites ? 2 * MIN_TASK_RANGE_SIZE : MIN_TASK_RANGE_SIZE, evenSize));
    }

    /** Returns the job's specification. */
    public JobSpec spec() {
        return spec;
    }

    /** Returns the id that the user chose for the job. */
    public String id() {
        return spec.id();
    }

    /** Returns when the job was accepted, by the time of day of the controller that accepted it. */
    public Instant submittedAt() {
        return submittedAt;
    }

    /** Returns whether a cancellation of the job is stored. */
    public boolean cancelled() {
        return cancelled;
    }

    /**
     * Returns whether dependencies of the job are not known to be done; none of its tasks may be claimed until they
     * are.
     */
    public boolean awaitsDependencies() {
        return dependenciesDoneAt == null && !spec.dependencies().isEmpty();
    }

    /**
     * Returns the earliest time at which the job could start: its submission, or the end of its last dependency as
     * found in the store. Waiting times count from here, but the deadline counts from the submission.
     */
    public Instant releasedAt() {
        return dependenciesDoneAt == null ? submittedAt : dependenciesDoneAt;
    }

    /** Returns the number of task ranges of the job. */
    public int taskRangeCount() {
        return taskRanges.length;
    }

    /** Returns the index of the task range that contains a task. */
    public int taskRangeIndex(int task) {
        return task / taskRangeSize;
    }

    /** Returns a task range, or null if it is not stored because none of its tasks was ever claimed. */
    public TaskRange storedTaskRange(int index) {
        return taskRanges[index];
    }

    /** Returns a task range; an empty one if it is not stored. */
    public TaskRange taskRange(int index) {
        return taskRanges[index] == null ? emptyTaskRange(index) : taskRanges[index];
    }

    /** Creates a task range none of whose tasks was ever claimed. */
    public TaskRange emptyTaskRange(int index) {
        int first = index * taskRangeSize;
        return new TaskRange(id(), first, Math.min(taskRangeSize, spec.taskCount() - first));
    }

    /** Replaces a task range; {@code taskRange} is null if its key was deleted. */
    public void replaceTaskRange(int index, TaskRange taskRange) {
        addCounts(taskRanges[index], -1);
        taskRanges[index] = taskRange;
        addCounts(taskRange, 1);
        mediansCurrent = false;
    }

    private void addCounts(TaskRange taskRange, int sign) {
        if (taskRange != null) {
            done += sign * taskRange.doneCount();
            claimed += sign * taskRange.claims().size();
            failuresSinceSuccess += sign * taskRange.failuresSinceSuccess();
        }
    }

    /** Returns the claim of a task, or null if the task is not claimed. */
    public Claim claim(int task) {
        TaskRange taskRange = task < spec.taskCount() ? taskRanges[taskRangeIndex(task)] : null;
        return taskRange == null ? null : taskRange.claim(task);
    }

    /** Returns the number of tasks that are done. */
    public int doneCount() {
        return done;
    }

    /** Returns the claims of all tasks of the job. */
    public List<Claim> claims() {
        List<Claim> claims = new ArrayList<>();
        for (TaskRange taskRange : taskRanges) {
            if (taskRange != null) {
                claims.addAll(taskRange.claims());
            }
        }
        return claims;
    }

    /** Returns the number of claimed tasks. */
    public int claimCount() {
        return claimed;
    }

    /** Returns the number of tasks that are neither done nor claimed. */
    public int pendingCount() {
        return spec.taskCount() - done - claimed;
    }

    /** Returns the number of failures since the last success of each task range, summed over the task ranges. */
    public int failuresSinceSuccess() {
        return failuresSinceSuccess;
    }

    /** Returns the median duration of the tasks' image pulls, or null if no duration is known. */
    public Duration medianPull() {
        updateMedians();
        return medianPull;
    }

    /** Returns the median duration of the tasks' runs, or null if no duration is known. */
    public Duration medianRun() {
        updateMedians();
        return medianRun;
    }

    private void updateMedians() {
        if (!mediansCurrent) {
            mediansCurrent = true;
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
        double tenths = all.size() % 2 == 1 ? all.getInt(half) : (all.getInt(half - 1) + all.getInt(half)) / 2.0;
        return Duration.ofMillis((long) (tenths * MILLIS_PER_TENTH));
    }

    /** Returns when the job should be done, or null if it has no deadline. */
    public Instant deadline() {
        return spec.deadline() == null ? null : submittedAt.plus(spec.deadline());
    }

    /** Returns the job header to store, marked as cancelled if {@code markCancelled} is set. */
    public JsonObject header(boolean markCancelled) {
        JsonObject json = spec.toJson();
        json.addProperty(SUBMITTED_AT, submittedAt.toEpochMilli());
        json.addProperty(TASK_RANGE_SIZE, taskRangeSize);
        if (markCancelled) {
            json.addProperty(CANCELLED, true);
        }
        if (dependenciesDoneAt != null) {
            json.addProperty(DEPENDENCIES_DONE_AT, dependenciesDoneAt.toEpochMilli());
        }
        return json;
    }

    /** Returns the header to store once all dependencies are done, after which the job's tasks can be claimed. */
    public JsonObject releasedHeader(Instant doneAt) {
        return new Job(spec, submittedAt, taskRangeSize, cancelled, doneAt).header(cancelled);
    }

    /** Parses a header stored by this version or an earlier one. */
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
