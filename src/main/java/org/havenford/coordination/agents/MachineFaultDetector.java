package org.havenford.coordination.agents;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;

/**
 * Distinguishes faulty machines from jobs that fail on every machine. A failure counts against a machine only if its job is
 * known to work, that is, at least one of the job's tasks is done or the whole job completed. A job that was submitted with
 * an error never succeeds, so its failures count against no machine, however many there are.
 */
public final class MachineFaultDetector {
    /** Number of jobs known to work that must fail on a machine, with no success in between, for it to count as faulty. */
    private static final int MIN_WORKING_JOBS = 2;

    /** Jobs with tasks that failed on one machine since the last success on it. */
    private static final class Failures {
        /** Jobs that had not ended yet; their progress shows whether they work on other machines. */
        private final Set<String> unfinished = new HashSet<>();
        /** Jobs that completed since. */
        private final Set<String> completed = new HashSet<>();
    }

    private final ClusterState clusterState;
    private final Map<String, Failures> byMachine = new HashMap<>();

    /** Creates a detector that reads the progress of jobs from {@code clusterState}. */
    public MachineFaultDetector(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /** Records the failure of a task of a job on a machine. */
    public void recordFailure(String machine, String job) {
        byMachine.computeIfAbsent(machine, name -> new Failures()).unfinished.add(job);
    }

    /** Records that a task completed on a machine, which clears the failures of the machine. */
    public void recordSuccess(String machine) {
        byMachine.remove(machine);
    }

    /** Records the end of a job, given its last state. A job that was cancelled is no evidence for or against machines. */
    public void jobEnded(Job lastState) {
        for (Failures failures : byMachine.values()) {
            if (failures.unfinished.remove(lastState.id()) && !lastState.cancelled()) {
                failures.completed.add(lastState.id());
            }
        }
    }

    /** Drops the failures of all machines but the given ones. */
    void retainMachines(Set<String> machines) {
        byMachine.keySet().retainAll(machines);
    }

    /** Returns whether several jobs that are known to work have failed on a machine. */
    public boolean isFaulty(String machine) {
        Failures failures = byMachine.get(machine);
        return failures != null && workingJobs(failures).size() >= MIN_WORKING_JOBS;
    }

    private List<String> workingJobs(Failures failures) {
        List<String> working = new ArrayList<>(failures.completed);
        for (String id : failures.unfinished) {
            Job job = clusterState.job(id);
            if (job != null && job.doneCount() > 0) {
                working.add(id);
            }
        }
        return working;
    }
}
