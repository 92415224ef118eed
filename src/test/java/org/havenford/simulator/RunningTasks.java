package org.havenford.simulator;

import java.util.Map;
import java.util.TreeMap;

/** Determines which tasks actually run on the simulated machines, independently of the state of the controllers. */
final class RunningTasks {
    private RunningTasks() {}

    /** Returns whether a task runs; a task on a hung machine counts as ended once the lease of the agent has expired. */
    static boolean isRunning(SimulatedAgent agent, SimulatedAgent.Attempt attempt) {
        return attempt.isExecuting() && !(agent.hung && agent.isLeaseExpired());
    }

    /** Returns the job id in a task id of the form {@code job/index}. */
    static String jobIdOf(String taskId) {
        return taskId.substring(0, taskId.indexOf('/'));
    }

    /** Returns the number of running tasks of a job in each zone that has any. */
    static Map<String, Integer> byZone(ClusterSimulator simulator, SimulatedUsers.Job job) {
        Map<String, Integer> byZone = new TreeMap<>();
        for (SimulatedAgent agent : simulator.agents.values()) {
            for (SimulatedAgent.Attempt attempt : agent.tasks.values()) {
                if (isRunning(agent, attempt) && jobIdOf(attempt.taskId).equals(job.id)) {
                    byZone.merge(agent.zone, 1, Integer::sum);
                }
            }
        }
        return byZone;
    }
}
