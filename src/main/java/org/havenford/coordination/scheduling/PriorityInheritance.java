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
 * Propagates priorities and deadlines from jobs to their dependencies: a job inherits the highest priority of all jobs
 * that depend on it, directly or transitively, and a deadline early enough for them to meet theirs.
 */
final class PriorityInheritance {
    /** Priority and deadline of a job, its own or inherited; {@code deadline} is null if there is none. */
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
    /** Value of {@link ClusterState#dependencyChangeCount} for which {@code inherited} was computed. */
    private long computedAtChangeCount;

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

    /** Computes all inherited values again if a pipeline has changed since the last call. */
    void refresh() {
        if (!computed || computedAtChangeCount != clusterState.dependencyChangeCount()) {
            computed = true;
            computedAtChangeCount = clusterState.dependencyChangeCount();
            inherited = compute();
        }
    }

    /**
     * Visits each waiting job after all waiting jobs that depend on it, in topological order. Submission times can't
     * replace that order, since they come from the clocks of different controllers.
     */
    private Map<String, Inherited> compute() {
        List<Job> waiting = waitingJobs();
        Map<String, Integer> unvisitedDependents = countDependents(waiting);
        ArrayDeque<Job> ready = new ArrayDeque<>();
        for (Job job : waiting) {
            if (!unvisitedDependents.containsKey(job.id())) {
                ready.add(job);
            }
        }
        Map<String, Inherited> computedByJob = new HashMap<>();
        while (!ready.isEmpty()) {
            Job dependent = ready.poll();
            for (String id : dependent.spec().dependencies()) {
                Job needed = clusterState.job(id);
                boolean last = unvisitedDependents.merge(id, -1, Integer::sum) == 0;
                if (needed == null) {
                    continue;
                }
                propagate(dependent, needed, computedByJob);
                if (last && needed.awaitsDependencies() && !needed.cancelled()) {
                    ready.add(needed);
                }
            }
        }
        return computedByJob;
    }

    /** Returns how many of the given jobs depend directly on a job, by the id of that job. */
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

    /**
     * Propagates priority and deadline to a dependency; a waiting job has never run, so the user's estimate is used.
     */
    private static void propagate(Job dependent, Job needed, Map<String, Inherited> computedByJob) {
        Inherited ofDependent = computedByJob.getOrDefault(dependent.id(), Inherited.own(dependent));
        Instant deadline = ofDependent.deadline() == null
                ? null
                : ofDependent.deadline().minus(dependent.spec().estimatedDuration());
        Inherited before = computedByJob.getOrDefault(needed.id(), Inherited.own(needed));
        computedByJob.put(needed.id(), before.with(ofDependent.priority(), deadline));
    }
}
