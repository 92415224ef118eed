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

/** An accepted job that is not over, with its tasks. */
public final class Job {
    private static final int LEAST_CHUNK = 16;
    private final JobSpec spec;
    private final Instant submitted;
    private final int chunkSize;
    private final boolean cancelled;
    /** When all that the job awaits was found to be done in the store; null while it waits, or where it awaits nothing. */
    private final Instant ready;

    private final TaskRange[] chunks;
    private int done;
    private int claimed;
    private int errors;
    /** Middles of the phases, worked out when asked for after a change. */
    private boolean mediansKnown;

    private Duration medianFetch;
    private Duration medianRun;

    /** A job that was just accepted, or one that awaits no other. */
    public Job(JobSpec spec, Instant submitted, int chunkSize, boolean cancelled) {
        this(spec, submitted, chunkSize, cancelled, null);
    }

    private Job(JobSpec spec, Instant submitted, int chunkSize, boolean cancelled, Instant ready) {
        this.ready = ready;
        this.spec = spec;
        this.submitted = submitted;
        this.chunkSize = chunkSize;
        this.cancelled = cancelled;
        this.chunks = new TaskRange[(spec.tasks() + chunkSize - 1) / chunkSize];
    }

    /** Tasks per key, so that a full chunk stays within the value limit. */
    public static int chunkSize(int valueBytes) {
        // Small values take more tasks than full records would allow: those are written in the short form.
        return Math.max(Math.min(32, (valueBytes - 250) / 56), Math.max(4, Math.min(64, (valueBytes - 600) / 130)));
    }

    /** Keys for the controllers to share a job by, none so small that a write says little. */
    public static int chunkSize(int valueBytes, int tasks, int controllers, boolean scarceChanges) {
        int even = (tasks + controllers - 1) / Math.max(1, controllers);
        return Math.min(chunkSize(valueBytes), Math.max(scarceChanges ? 2 * LEAST_CHUNK : LEAST_CHUNK, even));
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
    public Instant submitted() {
        return submitted;
    }

    /** Whether the job's cancellation was confirmed to its user. */
    public boolean cancelled() {
        return cancelled;
    }

    /** Whether jobs that this one needs are not known to be done: then none of its tasks may be claimed. */
    public boolean waiting() {
        return ready == null && !spec.awaits().isEmpty();
    }

    /** From when on the job could start: its times count from here, its deadline from the submission. */
    public Instant released() {
        return ready == null ? submitted : ready;
    }

    /** Number of records that hold the job's tasks. */
    public int chunkCount() {
        return chunks.length;
    }

    /** Index of the record that holds a task. */
    public int chunkOf(int task) {
        return task / chunkSize;
    }

    /** The chunk, or null when none of its tasks was ever claimed. */
    public TaskRange stored(int index) {
        return chunks[index];
    }

    /** The record, a fresh one if none of its tasks was ever claimed. */
    public TaskRange chunk(int index) {
        return chunks[index] == null ? fresh(index) : chunks[index];
    }

    /** A record in which no task was ever claimed. */
    public TaskRange fresh(int index) {
        int first = index * chunkSize;
        return new TaskRange(id(), first, Math.min(chunkSize, spec.tasks() - first));
    }

    /** Puts a record in place of the one before; null if it was deleted. */
    public void replace(int index, TaskRange chunk) {
        count(chunks[index], -1);
        chunks[index] = chunk;
        count(chunk, 1);
        mediansKnown = false;
    }

    private void count(TaskRange c, int sign) {
        if (c != null) {
            done += sign * c.doneCount();
            claimed += sign * c.claims().size();
            errors += sign * c.errors();
        }
    }

    /** The claim of a task, or null. */
    public Claim claim(int task) {
        TaskRange c = task < spec.tasks() ? chunks[chunkOf(task)] : null;
        return c == null ? null : c.claim(task);
    }

    /** Number of tasks that are done. */
    public int doneCount() {
        return done;
    }

    /** All claims of the job's tasks. */
    public List<Claim> claims() {
        List<Claim> out = new ArrayList<>();
        for (TaskRange c : chunks) {
            if (c != null) {
                out.addAll(c.claims());
            }
        }
        return out;
    }

    /** Number of claimed tasks. */
    public int claimCount() {
        return claimed;
    }

    /** Number of tasks that are neither done nor claimed. */
    public int pendingCount() {
        return spec.tasks() - done - claimed;
    }

    /** Failures since the last success, summed over the records. */
    public int errors() {
        return errors;
    }

    /** The middle of the tasks' fetches, or null while there are none. */
    public Duration medianFetch() {
        findMedians();
        return medianFetch;
    }

    /** The middle of the tasks' runs, or null while there are none. */
    public Duration medianRun() {
        findMedians();
        return medianRun;
    }

    private void findMedians() {
        if (!mediansKnown) {
            mediansKnown = true;
            medianFetch = median(TaskRange::fetches);
            medianRun = median(TaskRange::runs);
        }
    }

    private Duration median(Function<TaskRange, IntArrayList> durations) {
        IntArrayList all = new IntArrayList();
        for (TaskRange c : chunks) {
            if (c != null) {
                all.addAll(durations.apply(c));
            }
        }
        if (all.isEmpty()) {
            return null;
        }
        all.sort(null);
        int n = all.size();
        double middle = n % 2 == 1 ? all.getInt(n / 2) : (all.getInt(n / 2 - 1) + all.getInt(n / 2)) / 2.0;
        return Duration.ofMillis((long) (middle * 100));
    }

    /** When the job should be done; jobs without a deadline get none. */
    public Instant due() {
        return spec.deadline() == null ? null : submitted.plus(spec.deadline());
    }

    /** The stored header, cancelled or not. */
    public JsonObject header(boolean withCancel) {
        JsonObject o = spec.toJson();
        o.addProperty("_at", submitted.toEpochMilli());
        o.addProperty("_chunk", chunkSize);
        if (withCancel) {
            o.addProperty("_cancelled", true);
        }
        if (ready != null) {
            o.addProperty("_ready", ready.toEpochMilli());
        }
        return o;
    }

    /** The header that lets the job's tasks be claimed. */
    public JsonObject readyHeader(Instant at) {
        return new Job(spec, submitted, chunkSize, cancelled, at).header(cancelled);
    }

    /** Reads a stored header of this version or of an earlier one. */
    public static Job parse(JsonObject o) throws Json.BadMessage {
        return new Job(
                JobSpec.parse(o),
                Instant.ofEpochMilli(Json.count(o, "_at")),
                (int) Math.max(1, Json.count(o, "_chunk")),
                Json.flagOr(o, "_cancelled", false),
                Json.has(o, "_ready") ? Instant.ofEpochMilli(Json.count(o, "_ready")) : null);
    }
}
