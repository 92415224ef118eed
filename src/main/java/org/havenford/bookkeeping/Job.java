package org.havenford.bookkeeping;

import com.google.gson.JsonObject;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.Json;

/** An accepted job that is not over, with its tasks. */
public final class Job {
    private final JobSpec spec;
    private final Instant submitted;
    private final int chunkSize;
    private final boolean cancelled;
    private final Chunk[] chunks;

    public Job(JobSpec spec, Instant submitted, int chunkSize, boolean cancelled) {
        this.spec = spec;
        this.submitted = submitted;
        this.chunkSize = chunkSize;
        this.cancelled = cancelled;
        this.chunks = new Chunk[(spec.tasks() + chunkSize - 1) / chunkSize];
    }

    /** Tasks per key, so that a full chunk stays within the value limit. */
    public static int chunkSize(int valueBytes) {
        return Math.max(4, Math.min(64, (valueBytes - 600) / 110));
    }

    public JobSpec spec() {
        return spec;
    }

    public String id() {
        return spec.id();
    }

    public Instant submitted() {
        return submitted;
    }

    public boolean cancelled() {
        return cancelled;
    }

    public int chunkCount() {
        return chunks.length;
    }

    public int chunkOf(int task) {
        return task / chunkSize;
    }

    /** The chunk, or null when none of its tasks was ever claimed. */
    public Chunk stored(int index) {
        return chunks[index];
    }

    public Chunk chunk(int index) {
        return chunks[index] == null ? fresh(index) : chunks[index];
    }

    public Chunk fresh(int index) {
        int first = index * chunkSize;
        return new Chunk(id(), first, Math.min(chunkSize, spec.tasks() - first));
    }

    public void replace(int index, Chunk chunk) {
        chunks[index] = chunk;
    }

    public Claim claim(int task) {
        Chunk c = task < spec.tasks() ? chunks[chunkOf(task)] : null;
        return c == null ? null : c.claim(task);
    }

    public int doneCount() {
        int n = 0;
        for (Chunk c : chunks) {
            n += c == null ? 0 : c.doneCount();
        }
        return n;
    }

    public List<Claim> claims() {
        List<Claim> out = new ArrayList<>();
        for (Chunk c : chunks) {
            if (c != null) {
                out.addAll(c.claims());
            }
        }
        return out;
    }

    public int claimCount() {
        int n = 0;
        for (Chunk c : chunks) {
            n += c == null ? 0 : c.claims().size();
        }
        return n;
    }

    public int pendingCount() {
        return spec.tasks() - doneCount() - claimCount();
    }

    public int errors() {
        int n = 0;
        for (Chunk c : chunks) {
            n += c == null ? 0 : c.errors();
        }
        return n;
    }

    /** When the job should be done; jobs without a deadline get none. */
    public Instant due() {
        return spec.deadline() == null ? null : submitted.plus(spec.deadline());
    }

    public JsonObject header(boolean withCancel) {
        JsonObject o = spec.toJson();
        o.addProperty("_at", submitted.toEpochMilli());
        o.addProperty("_chunk", chunkSize);
        if (withCancel) {
            o.addProperty("_cancelled", true);
        }
        return o;
    }

    public static Job parse(JsonObject o) throws Json.BadMessage {
        return new Job(JobSpec.parse(o), Instant.ofEpochMilli(Json.count(o, "_at")),
                (int) Math.max(1, Json.count(o, "_chunk")), Json.flagOr(o, "_cancelled", false));
    }
}
