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
 * directly or through others, and is due early enough for the jobs after it to be in time.
 */
final class PriorityInheritance {
    /** Priority and due time of a job, its own or inherited; {@code due} is null where there is none. */
    record Inherited(JobSpec.Priority priority, Instant deadline) {
        static Inherited own(Job job) {
            return new Inherited(job.spec().priority(), job.deadline());
        }

        Inherited with(JobSpec.Priority otherPriority, Instant otherDue) {
            JobSpec.Priority higher = otherPriority.compareTo(priority) < 0 ? otherPriority : priority;
            boolean earlier = deadline == null || (otherDue != null && otherDue.isBefore(deadline));
            return new Inherited(higher, earlier ? otherDue : deadline);
        }
    }

    private final ClusterState clusterState;
    private long computedFor = -1;
    private Map<String, Inherited> inherited = Map.of();

    PriorityInheritance(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    JobSpec.Priority priority(Job job) {
        Inherited of = inherited.get(job.id());
        return of == null ? job.spec().priority() : of.priority();
    }

    Instant deadline(Job job) {
        Inherited of = inherited.get(job.id());
        return of == null ? job.deadline() : of.deadline();
    }

    /** Works everything out anew if a pipeline has changed since the last call. */
    void refresh() {
        if (computedFor != clusterState.pipelineChanges()) {
            computedFor = clusterState.pipelineChanges();
            inherited = compute();
        }
    }

    /**
     * Visits each waiting job after all waiting jobs that need it. Times of acceptance don't give that order, since the
     * clocks of two controllers differ.
     */
    private Map<String, Inherited> compute() {
        List<Job> waiting = waitingJobs();
        Map<String, Integer> unvisitedDependents = new HashMap<>();
        for (Job job : waiting) {
            for (String needed : job.spec().dependencies()) {
                unvisitedDependents.merge(needed, 1, Integer::sum);
            }
        }
        ArrayDeque<Job> visitable = new ArrayDeque<>();
        for (Job job : waiting) {
            if (!unvisitedDependents.containsKey(job.id())) {
                visitable.add(job);
            }
        }
        Map<String, Inherited> computed = new HashMap<>();
        while (!visitable.isEmpty()) {
            Job later = visitable.poll();
            for (String id : later.spec().dependencies()) {
                Job needed = clusterState.job(id);
                boolean last = unvisitedDependents.merge(id, -1, Integer::sum) == 0;
                if (needed == null) {
                    continue;
                }
                passOn(later, needed, computed);
                if (last && needed.awaitsDependencies() && !needed.cancelled()) {
                    visitable.add(needed);
                }
            }
        }
        return computed;
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
    private static void passOn(Job later, Job needed, Map<String, Inherited> computed) {
        Inherited of = computed.getOrDefault(later.id(), Inherited.own(later));
        Instant due =
                of.deadline() == null ? null : of.deadline().minus(later.spec().estimatedDuration());
        Inherited before = computed.getOrDefault(needed.id(), Inherited.own(needed));
        computed.put(needed.id(), before.with(of.priority(), due));
    }
}
