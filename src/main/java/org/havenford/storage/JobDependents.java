package org.havenford.storage;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.havenford.storage.records.Job;

/** Jobs that wait for their dependencies, and an index of them by dependency. */
final class JobDependents {
    private final TreeSet<String> awaitingDependencies = new TreeSet<>();
    /** Ids of waiting jobs by the jobs that they depend on. */
    private final Map<String, Set<String>> dependentsByJob = new HashMap<>();

    private long changeCount;

    /** Returns the ids of the jobs that wait for their dependencies. */
    Collection<String> awaitingDependencies() {
        return awaitingDependencies;
    }

    /** Returns the ids of the waiting jobs that depend on the given job. */
    Set<String> dependentsOf(String job) {
        return dependentsByJob.getOrDefault(job, Set.of());
    }

    /** Returns the number of changes so far of waiting jobs and of the jobs that they depend on. */
    long changeCount() {
        return changeCount;
    }

    /** Counts a change of a job if waiting jobs depend on it. */
    void jobChanged(String job) {
        if (dependentsByJob.containsKey(job)) {
            changeCount++;
        }
    }

    /** Adds a job if it waits for its dependencies. */
    void add(Job job) {
        if (!job.awaitsDependencies()) {
            return;
        }
        changeCount++;
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
        changeCount++;
        for (String dependency : job.spec().dependencies()) {
            Set<String> dependents = dependentsByJob.get(dependency);
            dependents.remove(job.id());
            if (dependents.isEmpty()) {
                dependentsByJob.remove(dependency);
            }
        }
    }
}
