package org.havenford.simulator;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** Simulates task attempts on one machine: the image pull, the run and the exit with a cause. */
final class SimulatedTaskExecutor {
    private static final double CPU_TOLERANCE = 1e-6;
    private static final Duration SHORT_DELAY = Duration.ofMillis(1);
    /** How long after its start a failing task exits. */
    private static final Duration FAILURE_DELAY = Duration.ofSeconds(1);

    private final ClusterSimulator simulator;
    private final SimulatedAgent agent;
    private final Set<String> pulledImages = new HashSet<>();

    SimulatedTaskExecutor(ClusterSimulator simulator, SimulatedAgent agent) {
        this.simulator = simulator;
        this.agent = agent;
    }

    /** Starts an attempt of a task; has no effect if the attempt is already listed. */
    void run(String taskId, long attempt) {
        if (agent.tasks.containsKey(attemptKey(taskId, attempt))) {
            return;
        }
        agent.requestHeartbeat();
        SimulatedAgent.Attempt task = new SimulatedAgent.Attempt();
        task.taskId = taskId;
        task.attempt = attempt;
        boolean hasOtherAttempt =
                agent.tasks.values().stream().anyMatch(other -> other.taskId.equals(taskId) && !other.isExited());
        agent.tasks.put(attemptKey(taskId, attempt), task);
        SimulatedUsers.Job job = jobOf(task);
        if (hasOtherAttempt || job == null) {
            reject(task, hasOtherAttempt ? "busy" : "unknown");
        } else if (job.cpus + cpusOfOthers(task) > SimulatedCloud.TYPES.get(agent.type)[0] + CPU_TOLERANCE) {
            reject(task, "no_room");
        } else {
            pullImage(task, job);
        }
    }

    /** Ends an attempt of a task if it is on the machine and has not exited. */
    void stop(String taskId, long attempt) {
        SimulatedAgent.Attempt task = agent.tasks.get(attemptKey(taskId, attempt));
        if (task != null && !task.isExited()) {
            exit(task, "stopped");
        }
    }

    /** Removes an attempt that has exited, so that heartbeats no longer report it. */
    void forget(String taskId, long attempt) {
        SimulatedAgent.Attempt task = agent.tasks.get(attemptKey(taskId, attempt));
        if (task != null && task.isExited()) {
            agent.tasks.remove(attemptKey(taskId, attempt));
        }
    }

    private static String attemptKey(String taskId, long attempt) {
        return taskId + "#" + attempt;
    }

    private SimulatedUsers.Job jobOf(SimulatedAgent.Attempt task) {
        return simulator.users.jobs.get(task.taskId.substring(0, task.taskId.indexOf('/')));
    }

    private double cpusOfOthers(SimulatedAgent.Attempt task) {
        return agent.tasks.values().stream()
                .filter(other -> other != task && !other.isExited())
                .mapToDouble(other -> jobOf(other).cpus)
                .sum();
    }

    private void pullImage(SimulatedAgent.Attempt task, SimulatedUsers.Job job) {
        task.status = "pulling";
        Duration duration = pulledImages.contains(job.image)
                ? SHORT_DELAY
                : Duration.ofMillis(
                        (long) (1000 / SimulatedCloud.IMAGE_PULL_GB_PER_S * job.imageGb * agent.pullSlowdown));
        continueAfter(duration, task, "pulling", () -> {
            pulledImages.add(job.image);
            startRun(task, job);
        });
    }

    private void startRun(SimulatedAgent.Attempt task, SimulatedUsers.Job job) {
        task.status = "running";
        agent.requestHeartbeat();
        simulator.rules.started(agent, task);
        // A task whose result is already stored exits almost at once.
        Duration runTime = simulator.users.finished.contains(task.taskId) ? SHORT_DELAY : job.run(simulator.random);
        boolean fails = agent.faulty || job.broken;
        continueAfter(fails ? FAILURE_DELAY : runTime, task, "running", () -> {
            if (!fails) {
                simulator.users.finished.add(task.taskId);
            }
            exit(task, fails ? "error" : "done");
        });
    }

    /** Runs the next step of an attempt after a delay, unless the attempt was removed or changed its status meanwhile. */
    private void continueAfter(Duration delay, SimulatedAgent.Attempt task, String status, Runnable nextStep) {
        simulator.after(
                delay,
                () -> agent.runOrDefer(() -> {
                    if (agent.tasks.get(attemptKey(task.taskId, task.attempt)) == task && task.status.equals(status)) {
                        nextStep.run();
                    }
                }));
    }

    private static void reject(SimulatedAgent.Attempt task, String cause) {
        task.status = "exited";
        task.exitCause = cause;
    }

    private void exit(SimulatedAgent.Attempt task, String cause) {
        task.status = "exited";
        task.exitCause = cause;
        agent.requestHeartbeat();
        simulator.rules.touched();
    }
}
