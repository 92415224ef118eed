package org.havenford.coordination.scheduling;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;

/**
 * Priorities and deadlines passed backwards through pipelines: a job has the highest priority of any job that needs it,
 * directly or through others, and has a deadline early enough for the jobs after it to meet theirs.
 */
final class PriorityInheritance {
    /** Priority and deadline of a job, its own or inherited; {@code deadline} is null where there is none. */
    record Inherited(JobSpec.Priority priority, Instant deadline) {
        static Inherited own(Job job) {
            return new Inherited(job.spec().priority(), job.deadline());
        }

        Inherited with(JobSpec.Priority otherPriority, Instant otherDeadline) {
            JobSpec.Priority higher = otherPriority.compareTo(priority) < 0 ? otherPriority : priority;
            boolean earlier = deadline == null || (otherDeadline != null && otherDeadline.isBefore(deadline));
            return new Inherited(higher, earlier ? otherDeadline : deadline);
        }
    }

    private final ClusterState clusterState;
    private boolean computed;
    /** Count of pipeline changes that {@code inherited} was computed for. */
    private long computedFor;

    private Map<String, Inherited> inherited = Map.of();

    PriorityInheritance(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    JobSpec.Priority priority(Job job) {
        Inherited values = inherited.get(job.id());
        return values == null ? job.spec().priority() : values.priority();
    }

    Instant deadline(Job job) {
        Inherited values = inherited.get(job.id());
        return values == null ? job.deadline() : values.deadline();
    }

    /** Computes everything again if a pipeline has changed since the last call. */
    void refresh() {
        if (!computed || computedFor != clusterState.pipelineChanges()) {
            computed = true;
            computedFor = clusterState.pipelineChanges();
            inherited = compute();
        }
    }

    /**
     * Visits each waiting job after all waiting jobs that depend on it, in topological order. Submission times don't give
     * that order, since the clocks of two controllers differ.
     */
    private Map<String, Inherited> compute() {
        List<Job> waiting = waitingJobs();
        Map<String, Integer> unvisitedDependents = countDependents(waiting);
        ArrayDeque<Job> visitable = new ArrayDeque<>();
        for (Job job : waiting) {
            if (!unvisitedDependents.containsKey(job.id())) {
                visitable.add(job);
            }
        }
        Map<String, Inherited> computedByJob = new HashMap<>();
        while (!visitable.isEmpty()) {
            Job dependent = visitable.poll();
            for (String id : dependent.spec().dependencies()) {
                Job needed = clusterState.job(id);
                boolean last = unvisitedDependents.merge(id, -1, Integer::sum) == 0;
                if (needed == null) {
                    continue;
                }
                passOn(dependent, needed, computedByJob);
                if (last && needed.awaitsDependencies() && !needed.cancelled()) {
                    visitable.add(needed);
                }
            }
        }
        return computedByJob;
    }

    /** How many of the jobs depend on a job directly, by its id. */
    private static Map<String, Integer> countDependents(List<Job> jobs) {
        Map<String, Integer> dependents = new HashMap<>();
        for (Job job : jobs) {
            for (String needed : job.spec().dependencies()) {
                dependents.merge(needed, 1, Integer::sum);
            }
        }
        return dependents;
    }

    private List<Job> waitingJobs() {
        List<Job> waiting = new ArrayList<>();
        for (String id : clusterState.jobsAwaitingDependencies()) {
            Job job = clusterState.job(id);
            if (!job.cancelled()) {
                waiting.add(job);
            }
        }
        return waiting;
    }

    /** A waiting job has never run, so the time that it still takes is its owner's estimate. */
    private static void passOn(Job dependent, Job needed, Map<String, Inherited> computedByJob) {
        Inherited inheritable = computedByJob.getOrDefault(dependent.id(), Inherited.own(dependent));
        Instant deadline = inheritable.deadline() == null
                ? null
                : inheritable.deadline().minus(dependent.spec().estimatedDuration());
        Inherited before = computedByJob.getOrDefault(needed.id(), Inherited.own(needed));
        computedByJob.put(needed.id(), before.with(inheritable.priority(), deadline));
    }
}
