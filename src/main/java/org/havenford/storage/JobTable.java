package org.havenford.storage;

import com.google.gson.JsonObject;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.TaskRange;

/** Jobs that have not ended, with their task ranges. Keeps the claim index up to date. */
final class JobTable {
    /**
     * Jobs in the order of their ids, so that all controllers iterate over them in the same order. The hash map below
     * holds the same jobs for lookups by id, the most frequent access.
     */
    private final TreeMap<String, Job> jobsInOrder = new TreeMap<>();

    private final Object2ObjectOpenHashMap<String, Job> jobsById = new Object2ObjectOpenHashMap<>();
    private final JobDependents dependents = new JobDependents();
    /**
     * Values of task ranges without a job, by ID/INDEX. While the keys are being read, the job's header may still
     * follow; afterwards the job has ended.
     */
    private final Map<String, JsonObject> taskRangesWithoutJob = new HashMap<>();

    private final ClaimIndex claimIndex;
    private ClusterState.Observer observer;

    JobTable(ClaimIndex claimIndex) {
        this.claimIndex = claimIndex;
    }

    void setObserver(ClusterState.Observer observer) {
        this.observer = observer;
    }

    /** Returns the jobs that have not ended, in the order of their ids. */
    Collection<Job> jobs() {
        return jobsInOrder.values();
    }

    /** Returns a job that has not ended, or null. */
    Job job(String id) {
        return jobsById.get(id);
    }

    JobDependents dependents() {
        return dependents;
    }

    /** Returns the task ranges, as ID/INDEX, whose job has ended or has not been read yet. */
    Collection<String> taskRangesWithoutJob() {
        return taskRangesWithoutJob.keySet();
    }

    /** Applies the header of a job; {@code value} is null if it was deleted, which ends the job. */
    void headerChanged(String id, JsonObject value) throws MalformedMessageException {
        Job before = jobsById.get(id);
        if (value == null) {
            remove(id, before);
            return;
        }
        Job job = Job.parse(value);
        jobsInOrder.put(id, job);
        jobsById.put(id, job);
        if (before != null) {
            dependents.remove(before);
        }
        dependents.add(job);
        dependents.jobChanged(id);
        if (before != null) {
            copyTaskRanges(before, job);
        }
        applyTaskRangesWithoutJob(id);
    }

    private void remove(String id, Job job) {
        jobsInOrder.remove(id);
        jobsById.remove(id);
        if (job == null) {
            return;
        }
        dependents.remove(job);
        job.claims().forEach(claim -> claimIndex.remove(claim, job.spec()));
        observer.jobEnded(job);
        for (int i = 0; i < job.taskRangeCount(); i++) {
            if (job.storedTaskRange(i) != null) {
                taskRangesWithoutJob.put(id + "/" + i, new JsonObject());
            }
        }
    }

    private void copyTaskRanges(Job before, Job after) {
        for (int i = 0; i < after.taskRangeCount(); i++) {
            after.replaceTaskRange(i, before.storedTaskRange(i));
        }
        before.claims().forEach(claim -> observer.machineChanged(claim.machine()));
    }

    private void applyTaskRangesWithoutJob(String id) throws MalformedMessageException {
        if (taskRangesWithoutJob.isEmpty()) {
            return;
        }
        for (String path : List.copyOf(taskRangesWithoutJob.keySet())) {
            if (path.startsWith(id + "/")) {
                taskRangeChanged(path, taskRangesWithoutJob.remove(path));
            }
        }
    }

    /** Applies the value of a task range; {@code path} is ID/INDEX, {@code value} is null if the key was deleted. */
    void taskRangeChanged(String path, JsonObject value) throws MalformedMessageException {
        int slash = path.indexOf('/');
        Job job = jobsById.get(path.substring(0, slash));
        if (job == null) {
            if (value == null) {
                taskRangesWithoutJob.remove(path);
            } else {
                taskRangesWithoutJob.put(path, value);
            }
            return;
        }
        int index = Integer.parseInt(path.substring(slash + 1));
        TaskRange before = job.storedTaskRange(index);
        TaskRange after = value == null ? null : job.emptyTaskRange(index).read(value);
        if (before != null) {
            removeClaims(job, before, after);
        }
        job.replaceTaskRange(index, after);
        if (after != null) {
            addClaims(job, before, after);
        }
    }

    /** Removes from the index the claims of {@code before} that are not in {@code after}, which may be null. */
    private void removeClaims(Job job, TaskRange before, TaskRange after) {
        for (Claim claim : before.claims()) {
            if (!containsClaim(after, claim)) {
                claimIndex.remove(claim, job.spec());
            }
        }
    }

    /** Adds to the index the claims of {@code after} that are not in {@code before}, which may be null. */
    private void addClaims(Job job, TaskRange before, TaskRange after) {
        for (Claim claim : after.claims()) {
            if (!containsClaim(before, claim)) {
                claimIndex.add(claim, job.spec());
            }
        }
    }

    private static boolean containsClaim(TaskRange taskRange, Claim claim) {
        return taskRange != null && claim.equals(taskRange.claim(claim.task().index()));
    }
}
