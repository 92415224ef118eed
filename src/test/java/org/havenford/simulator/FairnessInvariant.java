package org.havenford.simulator;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What users look at when a run is over: no class, no team and no class's largest jobs may starve. */
final class FairnessInvariant {
    private static final String RULE = "unserved";
    private static final Duration LARGE_BEGIN_WITHIN = Duration.ofMinutes(4);
    /** Jobs of at least this part of the largest's tasks count as the largest. */
    private static final double LARGE = 0.8;

    private final ClusterSimulator world;
    private final InvariantChecker checker;
    private final Map<String, Integer> largestOfClass = new HashMap<>();
    private final Map<String, List<SimulatedUsers.Job>> groups = new TreeMap<>();

    FairnessInvariant(ClusterSimulator world, InvariantChecker checker) {
        this.world = world;
        this.checker = checker;
        for (SimulatedUsers.Job job : world.users.jobs.values()) {
            largestOfClass.merge(job.lineup, job.tasks, Math::max);
        }
    }

    /** Checks all jobs that were accepted and neither fail nor were cancelled. */
    void check() {
        for (SimulatedUsers.Job job : world.users.jobs.values()) {
            if (!job.accepted || job.broken || job.cancelTold != null || job.takenAlong != null) {
                continue;
            }
            group("class " + job.lineup, job);
            group("team " + job.team, job);
            if (job.tasks >= largestOfClass.get(job.lineup) * LARGE) {
                group("largest of class " + job.lineup, job);
                checkBegin(job);
            }
        }
        groups.forEach(this::checkMajorityDone);
    }

    private void group(String group, SimulatedUsers.Job job) {
        groups.computeIfAbsent(group, name -> new ArrayList<>()).add(job);
    }

    private void checkBegin(SimulatedUsers.Job job) {
        Instant latest = job.submitted.plus(LARGE_BEGIN_WITHIN);
        boolean inTime = job.begun != null && !job.begun.isAfter(latest);
        if (job.awaits.isEmpty() && latest.isBefore(world.now) && !inTime) {
            checker.broken(RULE, job.id + ", of the largest of its class, has not begun in time");
        }
    }

    private void checkMajorityDone(String group, List<SimulatedUsers.Job> jobs) {
        long done = jobs.stream().filter(job -> job.doneTold != null).count();
        if (done * 2 < jobs.size()) {
            checker.broken(RULE, group + ": " + done + " of " + jobs.size());
        }
    }
}
