package org.havenford.simulator;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** Simulates task attempts on one machine: the image pull, the run and the exit with a cause. */
final class SimulatedTaskExecutor {
    private static final double CPU_TOLERANCE = 1e-6;
    private static final Duration AT_ONCE = Duration.ofMillis(1);
    /** How long after its start a failing task exits. */
    private static final Duration FAILS_AFTER = Duration.ofSeconds(1);

    private final ClusterSimulator simulator;
    private final SimulatedAgent agent;
    private final Set<String> images = new HashSet<>();

    SimulatedTaskExecutor(ClusterSimulator simulator, SimulatedAgent agent) {
        this.simulator = simulator;
        this.agent = agent;
    }

    /** Starts an attempt of a task; has no effect if the attempt is already listed. */
    void run(String shot, long take) {
        if (agent.tasks.containsKey(key(shot, take))) {
            return;
        }
        agent.reportSoon();
        SimulatedAgent.Task task = new SimulatedAgent.Task();
        task.shot = shot;
        task.take = take;
        boolean busy = agent.tasks.values().stream().anyMatch(other -> other.shot.equals(shot) && !other.isExited());
        agent.tasks.put(key(shot, take), task);
        SimulatedUsers.Job job = jobOf(task);
        if (busy || job == null) {
            reject(task, busy ? "busy" : "unknown");
        } else if (job.cpus + cpusOfOthers(task) > SimulatedCloud.TYPES.get(agent.type)[0] + CPU_TOLERANCE) {
            reject(task, "no_room");
        } else {
            fetch(task, job);
        }
    }

    /** Ends an attempt of a task if it is on the machine and has not exited. */
    void stop(String shot, long take) {
        SimulatedAgent.Task task = agent.tasks.get(key(shot, take));
        if (task != null && !task.isExited()) {
            exit(task, "stopped");
        }
    }

    /** Removes an attempt that has exited, so that heartbeats no longer report it. */
    void forget(String shot, long take) {
        SimulatedAgent.Task task = agent.tasks.get(key(shot, take));
        if (task != null && task.isExited()) {
            agent.tasks.remove(key(shot, take));
        }
    }

    private static String key(String shot, long take) {
        return shot + "#" + take;
    }

    private SimulatedUsers.Job jobOf(SimulatedAgent.Task task) {
        return simulator.users.jobs.get(task.shot.substring(0, task.shot.indexOf('/')));
    }

    private double cpusOfOthers(SimulatedAgent.Task task) {
        return agent.tasks.values().stream()
                .filter(other -> other != task && !other.isExited())
                .mapToDouble(other -> jobOf(other).cpus)
                .sum();
    }

    private void fetch(SimulatedAgent.Task task, SimulatedUsers.Job job) {
        task.status = "pulling";
        Duration duration = images.contains(job.image)
                ? AT_ONCE
                : Duration.ofMillis((long) (1000 / SimulatedCloud.FETCH_GB_PER_S * job.imageGb * agent.slowFetch));
        after(duration, task, "pulling", () -> {
            images.add(job.image);
            start(task, job);
        });
    }

    private void start(SimulatedAgent.Task task, SimulatedUsers.Job job) {
        task.status = "running";
        agent.reportSoon();
        simulator.rules.started(agent, task);
        // A task whose result is already stored exits almost at once.
        Duration length = simulator.users.finished.contains(task.shot) ? AT_ONCE : job.run(simulator.random);
        boolean fails = agent.faulty || job.broken;
        after(fails ? FAILS_AFTER : length, task, "running", () -> {
            if (!fails) {
                simulator.users.finished.add(task.shot);
            }
            exit(task, fails ? "error" : "done");
        });
    }

    /** Runs the next step of an attempt after a delay, unless the attempt was removed or changed its status meanwhile. */
    private void after(Duration delay, SimulatedAgent.Task task, String status, Runnable next) {
        simulator.after(
                delay,
                () -> agent.act(() -> {
                    if (agent.tasks.get(key(task.shot, task.take)) == task && task.status.equals(status)) {
                        next.run();
                    }
                }));
    }

    private static void reject(SimulatedAgent.Task task, String cause) {
        task.status = "exited";
        task.cause = cause;
    }

    private void exit(SimulatedAgent.Task task, String cause) {
        task.status = "exited";
        task.cause = cause;
        agent.reportSoon();
        simulator.rules.touched();
    }
}
