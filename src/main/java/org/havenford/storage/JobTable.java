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

/** Jobs that are not over, with their task ranges; claims are kept in the index as they come and go. */
final class JobTable {
    /** In order, so that all controllers go through them alike; and by id, since nothing is looked up as often. */
    private final TreeMap<String, Job> jobs = new TreeMap<>();

    private final Object2ObjectOpenHashMap<String, Job> jobsById = new Object2ObjectOpenHashMap<>();
    private final JobDependents dependents = new JobDependents();
    /**
     * Values of task ranges without a job, as ID/INDEX: while keys come one by one, its header is still to come;
     * afterwards the job is over.
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

    /** Jobs that are not over, by id. */
    Collection<Job> jobs() {
        return jobs.values();
    }

    /** A job that is not over, or null. */
    Job job(String id) {
        return jobsById.get(id);
    }

    JobDependents dependents() {
        return dependents;
    }

    /** Task ranges, as ID/INDEX, whose job is over or not read yet. */
    Collection<String> taskRangesWithoutJob() {
        return taskRangesWithoutJob.keySet();
    }

    /** Takes up the header of a job; null if it is gone, which ends the job. */
    void headerChanged(String id, JsonObject value) throws MalformedMessageException {
        Job before = jobsById.get(id);
        if (value == null) {
            remove(id, before);
            return;
        }
        Job job = Job.parse(value);
        jobs.put(id, job);
        jobsById.put(id, job);
        if (before != null) {
            dependents.remove(before);
        }
        dependents.add(job);
        dependents.jobChanged(id);
        if (before != null) {
            takeOverTaskRanges(before, job);
        }
        takeUpWaitingTaskRanges(id);
    }

    private void remove(String id, Job job) {
        jobs.remove(id);
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

    private void takeOverTaskRanges(Job before, Job after) {
        for (int i = 0; i < after.taskRangeCount(); i++) {
            after.replace(i, before.storedTaskRange(i));
        }
        before.claims().forEach(claim -> observer.machineChanged(claim.machine()));
    }

    private void takeUpWaitingTaskRanges(String id) throws MalformedMessageException {
        if (taskRangesWithoutJob.isEmpty()) {
            return;
        }
        for (String path : List.copyOf(taskRangesWithoutJob.keySet())) {
            if (path.startsWith(id + "/")) {
                taskRangeChanged(path, taskRangesWithoutJob.remove(path));
            }
        }
    }

    /** Takes up the value of a task range; {@code path} is ID/INDEX, and the value null if the key is gone. */
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
        job.replace(index, after);
        if (after != null) {
            addClaims(job, before, after);
        }
    }

    /** Removes from the index the claims of {@code before} that do not stand in {@code after}, which may be null. */
    private void removeClaims(Job job, TaskRange before, TaskRange after) {
        for (Claim claim : before.claims()) {
            if (!holds(after, claim)) {
                claimIndex.remove(claim, job.spec());
            }
        }
    }

    /** Adds to the index the claims of {@code after} that did not stand in {@code before}, which may be null. */
    private void addClaims(Job job, TaskRange before, TaskRange after) {
        for (Claim claim : after.claims()) {
            if (!holds(before, claim)) {
                claimIndex.add(claim, job.spec());
            }
        }
    }

    private static boolean holds(TaskRange taskRange, Claim claim) {
        return taskRange != null && claim.equals(taskRange.claim(claim.task().index()));
    }
}
