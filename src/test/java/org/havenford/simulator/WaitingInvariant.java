package org.havenford.simulator;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.havenford.settings.PlatformSettings;

/**
 * Checks that, once all faults are over, no job waits for long while a suitable machine has room and the team is below its
 * limit. Jobs that fail on every machine never complete a task; they must instead be started often enough.
 */
final class WaitingInvariant {
    private static final Duration MAX_WAIT = Duration.ofSeconds(90);

    private final ClusterSimulator simulator;
    private final InvariantChecker checker;
    private final Map<String, Instant> waitingSince = new HashMap<>();

    WaitingInvariant(ClusterSimulator simulator, InvariantChecker checker) {
        this.simulator = simulator;
        this.checker = checker;
    }

    /** Clears the waiting times; waits do not count while there are faults. */
    void reset() {
        waitingSince.clear();
    }

    /** Checks all jobs, given the CPUs used by the running tasks of each team. */
    void check(Map<String, Double> cpusByTeam) {
        for (SimulatedUsers.Job job : simulator.users.jobs.values()) {
            if (!couldStart(job, cpusByTeam)) {
                waitingSince.remove(job.id);
                continue;
            }
            Instant since = waitingSince.computeIfAbsent(job.id, id -> simulator.now);
            if (Duration.between(since, simulator.now).compareTo(MAX_WAIT) > 0) {
                checker.recordViolation("waited", job.id + " is waiting although a suitable machine has room");
                waitingSince.remove(job.id);
            }
        }
    }

    private boolean couldStart(SimulatedUsers.Job job, Map<String, Double> cpusByTeam) {
        if (!isPending(job) || !isWithinTeamLimit(job, cpusByTeam)) {
            return false;
        }
        Map<String, Integer> byZone = RunningTasks.byZone(simulator, job);
        return simulator.agents.values().stream()
                .anyMatch(agent -> hasRoom(agent, job) && PlacementInvariant.allowsOneMore(agent, job, byZone));
    }

    private boolean isPending(SimulatedUsers.Job job) {
        return isOpen(job) && hasUnstartedTask(job) && !(job.alwaysFails && hasStartedRecently(job));
    }

    private boolean isOpen(SimulatedUsers.Job job) {
        return job.accepted
                && job.reportedDoneAt == null
                && !simulator.users.mayBeCancelled(job)
                && job.prerequisites.stream()
                        .allMatch(dependency -> simulator.store.value("final/" + dependency) != null);
    }

    private boolean hasStartedRecently(SimulatedUsers.Job job) {
        return checker.lastStart(job.id).plus(MAX_WAIT).isAfter(simulator.now);
    }

    private boolean hasUnstartedTask(SimulatedUsers.Job job) {
        for (int index = 0; index < job.tasks; index++) {
            String task = job.id + "/" + index;
            if (!simulator.users.completedTasks.contains(task) && !isOnAnyMachine(task)) {
                return true;
            }
        }
        return false;
    }

    private boolean isOnAnyMachine(String name) {
        return simulator.agents.values().stream()
                .anyMatch(agent -> agent.tasks.values().stream().anyMatch(attempt -> attempt.taskId.equals(name)));
    }

    private boolean isWithinTeamLimit(SimulatedUsers.Job job, Map<String, Double> cpusByTeam) {
        PlatformSettings.Team team = simulator.commonSettings.teams().get(job.team);
        return team.cpusMax() <= 0
                || cpusByTeam.getOrDefault(job.team, 0.0) + job.cpus <= team.cpusMax() + InvariantChecker.CPU_TOLERANCE;
    }

    private boolean hasRoom(SimulatedAgent agent, SimulatedUsers.Job job) {
        return agent.up()
                && !agent.hung
                && !agent.faulty
                && agent.spotNoticeSeconds == null
                && PlacementInvariant.allowsMachine(agent, job)
                && cpusInUse(agent) + job.cpus
                        <= SimulatedCloud.TYPES.get(agent.type)[0] + InvariantChecker.CPU_TOLERANCE;
    }

    private double cpusInUse(SimulatedAgent agent) {
        return agent.tasks.values().stream()
                .filter(attempt -> !attempt.status.equals("exited"))
                .mapToDouble(attempt -> simulator.users.jobs.get(RunningTasks.jobIdOf(attempt.taskId)).cpus)
                .sum();
    }
}
