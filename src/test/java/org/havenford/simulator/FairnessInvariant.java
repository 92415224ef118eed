package org.havenford.simulator;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Checks at the end of a run that no class, no team and none of the largest jobs of a class was starved. */
final class FairnessInvariant {
    private static final String RULE = "unserved";
    /** Within this time of its submission one of the largest jobs must have started, if it has no prerequisites. */
    private static final Duration MAX_START_DELAY = Duration.ofMinutes(4);
    /** Jobs with at least this share of the tasks of the largest job of their class count as the largest jobs. */
    private static final double LARGEST_SHARE = 0.8;

    private final ClusterSimulator simulator;
    private final InvariantChecker checker;
    private final Map<String, Integer> maxTasksByClass = new HashMap<>();
    private final Map<String, List<SimulatedUsers.Job>> groups = new TreeMap<>();

    FairnessInvariant(ClusterSimulator simulator, InvariantChecker checker) {
        this.simulator = simulator;
        this.checker = checker;
        for (SimulatedUsers.Job job : simulator.users.jobs.values()) {
            maxTasksByClass.merge(job.jobClass, job.tasks, Math::max);
        }
    }

    /** Checks all jobs that were accepted, except those that always fail or were cancelled. */
    void check() {
        for (SimulatedUsers.Job job : simulator.users.jobs.values()) {
            if (!job.accepted || job.alwaysFails || job.cancelConfirmedAt != null || job.reportedCancelledAt != null) {
                continue;
            }
            addToGroup("class " + job.jobClass, job);
            addToGroup("team " + job.team, job);
            if (job.tasks >= maxTasksByClass.get(job.jobClass) * LARGEST_SHARE) {
                addToGroup("largest of class " + job.jobClass, job);
                checkStartDelay(job);
            }
        }
        groups.forEach(this::checkMajorityDone);
    }

    private void addToGroup(String group, SimulatedUsers.Job job) {
        groups.computeIfAbsent(group, name -> new ArrayList<>()).add(job);
    }

    private void checkStartDelay(SimulatedUsers.Job job) {
        Instant latest = job.submittedAt.plus(MAX_START_DELAY);
        boolean inTime = job.firstStartedAt != null && !job.firstStartedAt.isAfter(latest);
        if (job.prerequisites.isEmpty() && latest.isBefore(simulator.now) && !inTime) {
            checker.recordViolation(RULE, job.id + ", one of the largest jobs of its class, did not start in time");
        }
    }

    /** Checks that at least half of the jobs of a group were reported as done. */
    private void checkMajorityDone(String group, List<SimulatedUsers.Job> jobs) {
        long done = jobs.stream().filter(job -> job.reportedDoneAt != null).count();
        if (done * 2 < jobs.size()) {
            checker.recordViolation(RULE, group + ": " + done + " of " + jobs.size() + " jobs done");
        }
    }
}
