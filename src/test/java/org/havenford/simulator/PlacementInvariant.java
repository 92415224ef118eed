package org.havenford.simulator;

import java.util.Map;

/** Checks that a task starts only on a machine that satisfies all five placement constraints of its job. */
final class PlacementInvariant {
    private static final String RULE = "wrong_place";

    private final ClusterSimulator simulator;
    private final InvariantChecker checker;

    PlacementInvariant(ClusterSimulator simulator, InvariantChecker checker) {
        this.simulator = simulator;
        this.checker = checker;
    }

    /** Checks a task that has just started, given the tasks of its job that are running. */
    void check(SimulatedAgent agent, SimulatedAgent.Attempt attempt, SimulatedUsers.Job job) {
        if (!allowsType(agent, job)) {
            report("type", attempt.taskId + " on " + agent.name + ", which is " + agent.type + ", not of " + job.types);
        }
        if (!allowsZone(agent, job)) {
            report("zone", attempt.taskId + " in zone " + agent.zone + ", not " + job.zone);
        }
        if (!allowsSpotOrOnDemand(agent, job)) {
            report("kind", attempt.taskId + " on " + agent.name + ", a spot machine");
        }
        Map<String, Integer> byZone = RunningTasks.byZone(simulator, job);
        if (job.together && byZone.size() > 1) {
            report("together", attempt.taskId + " on " + agent.name + ", tasks by zone " + byZone);
        }
        if (job.apart && byZone.getOrDefault(agent.zone, 0) > maxTasksPerZone(job)) {
            report("apart", attempt.taskId + " on " + agent.name + ", of " + job.tasks + " tasks by zone " + byZone);
        }
    }

    private void report(String constraint, String detail) {
        checker.recordViolation(RULE, constraint + ": " + detail);
    }

    /** Returns whether a machine satisfies the constraints that do not depend on where other tasks of the job run. */
    static boolean allowsMachine(SimulatedAgent agent, SimulatedUsers.Job job) {
        return allowsSpotOrOnDemand(agent, job) && allowsType(agent, job) && allowsZone(agent, job);
    }

    private static boolean allowsType(SimulatedAgent agent, SimulatedUsers.Job job) {
        return job.types.isEmpty() || job.types.contains(agent.type);
    }

    private static boolean allowsZone(SimulatedAgent agent, SimulatedUsers.Job job) {
        return job.zone == null || job.zone.equals(agent.zone);
    }

    private static boolean allowsSpotOrOnDemand(SimulatedAgent agent, SimulatedUsers.Job job) {
        return job.spot || !agent.spot;
    }

    /** Returns whether one more task of the job may start in the zone of the machine, given its running tasks by zone. */
    static boolean allowsOneMore(SimulatedAgent agent, SimulatedUsers.Job job, Map<String, Integer> byZone) {
        return (!job.together || byZone.isEmpty() || byZone.containsKey(agent.zone))
                && (!job.apart || byZone.getOrDefault(agent.zone, 0) < maxTasksPerZone(job));
    }

    /** Returns how many tasks of a job with the {@code apart} constraint may run in one zone: half, rounded up. */
    private static int maxTasksPerZone(SimulatedUsers.Job job) {
        return (job.tasks + 1) / 2;
    }
}
