package org.havenford.simulator;

import java.util.Map;
import java.util.TreeMap;

/** What really runs on the simulated machines, whatever the controllers know of it. */
final class RunningTasks {
    private RunningTasks() {}

    /** Whether a task runs; those on a machine that hangs count as ended when its lease is over. */
    static boolean isRunning(SimulatedAgent agent, SimulatedAgent.Task task) {
        return task.on() && !(agent.hung && agent.leaseOver());
    }

    /** The job of a task that is named job/index. */
    static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    /** How many tasks of a job run in each zone. */
    static Map<String, Integer> byZone(ClusterSimulator world, SimulatedUsers.Job job) {
        Map<String, Integer> byZone = new TreeMap<>();
        for (SimulatedAgent agent : world.workers.values()) {
            for (SimulatedAgent.Task task : agent.tasks.values()) {
                if (isRunning(agent, task) && jobOf(task.shot).equals(job.id)) {
                    byZone.merge(agent.zone, 1, Integer::sum);
                }
            }
        }
        return byZone;
    }
}
