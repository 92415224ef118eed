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
    void run(String taskId, long attemptNumber) {
        if (agent.tasks.containsKey(attemptKey(taskId, attemptNumber))) {
            return;
        }
        agent.requestHeartbeat();
        SimulatedAgent.Attempt attempt = new SimulatedAgent.Attempt();
        attempt.taskId = taskId;
        attempt.attempt = attemptNumber;
        boolean hasOtherAttempt =
                agent.tasks.values().stream().anyMatch(other -> other.taskId.equals(taskId) && !other.isExited());
        agent.tasks.put(attemptKey(taskId, attemptNumber), attempt);
        SimulatedUsers.Job job = jobOf(attempt);
        if (hasOtherAttempt || job == null) {
            reject(attempt, hasOtherAttempt ? "busy" : "unknown");
        } else if (job.cpus + cpusOfOthers(attempt) > SimulatedCloud.TYPES.get(agent.type)[0] + CPU_TOLERANCE) {
            reject(attempt, "no_room");
        } else {
            pullImage(attempt, job);
        }
    }

    /** Ends an attempt of a task if it is on the machine and has not exited. */
    void stop(String taskId, long attemptNumber) {
        SimulatedAgent.Attempt attempt = agent.tasks.get(attemptKey(taskId, attemptNumber));
        if (attempt != null && !attempt.isExited()) {
            exit(attempt, "stopped");
        }
    }

    /** Removes an attempt that has exited, so that heartbeats no longer report it. */
    void forget(String taskId, long attemptNumber) {
        SimulatedAgent.Attempt attempt = agent.tasks.get(attemptKey(taskId, attemptNumber));
        if (attempt != null && attempt.isExited()) {
            agent.tasks.remove(attemptKey(taskId, attemptNumber));
        }
    }

    private static String attemptKey(String taskId, long attempt) {
        return taskId + "#" + attempt;
    }

    private SimulatedUsers.Job jobOf(SimulatedAgent.Attempt attempt) {
        return simulator.users.jobs.get(attempt.taskId.substring(0, attempt.taskId.indexOf('/')));
    }

    private double cpusOfOthers(SimulatedAgent.Attempt attempt) {
        return agent.tasks.values().stream()
                .filter(other -> other != attempt && !other.isExited())
                .mapToDouble(other -> jobOf(other).cpus)
                .sum();
    }

    private void pullImage(SimulatedAgent.Attempt attempt, SimulatedUsers.Job job) {
        attempt.status = "pulling";
        Duration duration = pulledImages.contains(job.image)
                ? SHORT_DELAY
                : Duration.ofMillis(
                        (long) (1000 / SimulatedCloud.IMAGE_PULL_GB_PER_S * job.imageGb * agent.pullSlowdown));
        continueAfter(duration, attempt, "pulling", () -> {
            pulledImages.add(job.image);
            startRun(attempt, job);
        });
    }

    private void startRun(SimulatedAgent.Attempt attempt, SimulatedUsers.Job job) {
        attempt.status = "running";
        agent.requestHeartbeat();
        simulator.invariants.taskStarted(agent, attempt);
        // A task whose result is already stored exits almost at once.
        Duration runTime = simulator.users.completedTasks.contains(attempt.taskId)
                ? SHORT_DELAY
                : job.drawRunTime(simulator.random);
        boolean fails = agent.faulty || job.alwaysFails;
        continueAfter(fails ? FAILURE_DELAY : runTime, attempt, "running", () -> {
            if (!fails) {
                simulator.users.completedTasks.add(attempt.taskId);
            }
            exit(attempt, fails ? "error" : "done");
        });
    }

    /** Runs the next step of an attempt after a delay, unless the attempt was removed or changed its status meanwhile. */
    private void continueAfter(Duration delay, SimulatedAgent.Attempt attempt, String status, Runnable nextStep) {
        simulator.after(
                delay,
                () -> agent.runOrDefer(() -> {
                    if (agent.tasks.get(attemptKey(attempt.taskId, attempt.attempt)) == attempt
                            && attempt.status.equals(status)) {
                        nextStep.run();
                    }
                }));
    }

    private static void reject(SimulatedAgent.Attempt attempt, String cause) {
        attempt.status = "exited";
        attempt.exitCause = cause;
    }

    private void exit(SimulatedAgent.Attempt attempt, String cause) {
        attempt.status = "exited";
        attempt.exitCause = cause;
        agent.requestHeartbeat();
        simulator.invariants.machineChanged();
    }
}
