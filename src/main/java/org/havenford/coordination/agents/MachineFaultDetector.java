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
 * Tells faulty machines from jobs that fail everywhere. A failure weighs against its machine only if the job is known to
 * work: one of its tasks is done, or it was done to its end. A job that was submitted with a mistake never succeeds, so it
 * blames no machine, however many of its tasks fail there.
 */
public final class MachineFaultDetector {
    /** Jobs known to work that must have failed on a machine, without a success in between, for it to be faulty. */
    private static final int MIN_PROVING_JOBS = 2;

    /** Jobs that failed on one machine since the last task that was done there. */
    private static final class Failures {
        /** Jobs of which it is seen from their progress whether they work elsewhere. */
        private final Set<String> unfinished = new HashSet<>();
        /** Jobs that were done to their end. */
        private final Set<String> done = new HashSet<>();
    }

    private final ClusterState clusterState;
    private final Map<String, Failures> byMachine = new HashMap<>();

    /** A detector over the jobs that the replica shows. */
    public MachineFaultDetector(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /** A task of a job has failed on a machine. */
    public void failed(String machine, String job) {
        byMachine.computeIfAbsent(machine, name -> new Failures()).unfinished.add(job);
    }

    /** A task was done on a machine. */
    public void succeeded(String machine) {
        byMachine.remove(machine);
    }

    /** A job is over: it was cancelled and proves nothing, or it is done. */
    public void jobEnded(Job last) {
        for (Failures failures : byMachine.values()) {
            if (failures.unfinished.remove(last.id()) && !last.cancelled()) {
                failures.done.add(last.id());
            }
        }
    }

    /** Forgets machines that are gone. */
    void keepOnly(Set<String> machines) {
        byMachine.keySet().retainAll(machines);
    }

    /** Whether several jobs that work elsewhere have failed on a machine. */
    public boolean isFaulty(String machine) {
        Failures failures = byMachine.get(machine);
        return failures != null && provingJobs(failures).size() >= MIN_PROVING_JOBS;
    }

    private List<String> provingJobs(Failures failures) {
        List<String> proving = new ArrayList<>(failures.done);
        for (String id : failures.unfinished) {
            Job job = clusterState.job(id);
            if (job != null && job.doneCount() > 0) {
                proving.add(id);
            }
        }
        return proving;
    }
}
