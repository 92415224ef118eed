package org.havenford.storage;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.havenford.storage.records.Job;

/** Jobs that wait for others, and by which jobs they are waited for. */
final class JobDependents {
    private final TreeSet<String> awaitingDependencies = new TreeSet<>();
    /** Waiting jobs by the jobs that they name. */
    private final Map<String, Set<String>> dependentsByJob = new HashMap<>();

    private long changes;

    /** Jobs that wait for others. */
    Collection<String> awaitingDependencies() {
        return awaitingDependencies;
    }

    /** Waiting jobs that name the given one. */
    Set<String> of(String job) {
        return dependentsByJob.getOrDefault(job, Set.of());
    }

    /** Number of changes of waiting jobs and of jobs that they name. */
    long changes() {
        return changes;
    }

    /** Counts a change of a job if others wait for it. */
    void jobChanged(String job) {
        if (dependentsByJob.containsKey(job)) {
            changes++;
        }
    }

    /** Adds a job if it waits for others. */
    void add(Job job) {
        if (!job.awaitsDependencies()) {
            return;
        }
        changes++;
        awaitingDependencies.add(job.id());
        for (String dependency : job.spec().dependencies()) {
            dependentsByJob.computeIfAbsent(dependency, key -> new TreeSet<>()).add(job.id());
        }
    }

    /** Removes a job if it was waiting. */
    void remove(Job job) {
        if (!awaitingDependencies.remove(job.id())) {
            return;
        }
        changes++;
        for (String dependency : job.spec().dependencies()) {
            Set<String> dependents = dependentsByJob.get(dependency);
            dependents.remove(job.id());
            if (dependents.isEmpty()) {
                dependentsByJob.remove(dependency);
            }
        }
    }
}
