package org.havenford.simulator;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.havenford.settings.PlatformSettings;

/**
 * Once all faults are over no job may wait for long while a machine that fits has room and its team is under its limit. A job
 * that fails on every machine has no task that is ever done: it must be tried often enough.
 */
final class WaitingInvariant {
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(90);

    private final ClusterSimulator world;
    private final InvariantChecker checker;
    private final Map<String, Instant> waitingSince = new HashMap<>();

    WaitingInvariant(ClusterSimulator world, InvariantChecker checker) {
        this.world = world;
        this.checker = checker;
    }

    /** Forgets who waits: while there are faults, nobody counts as waiting. */
    void reset() {
        waitingSince.clear();
    }

    /** Checks all jobs, given the CPUs that each team's running tasks have. */
    void check(Map<String, Double> cpusByTeam) {
        for (SimulatedUsers.Job job : world.users.jobs.values()) {
            if (!couldStart(job, cpusByTeam)) {
                waitingSince.remove(job.id);
                continue;
            }
            Instant since = waitingSince.computeIfAbsent(job.id, id -> world.now);
            if (Duration.between(since, world.now).compareTo(MAXIMUM_WAIT) > 0) {
                checker.broken("waited", job.id + " has waited beside fitting room");
                waitingSince.remove(job.id);
            }
        }
    }

    private boolean couldStart(SimulatedUsers.Job job, Map<String, Double> cpusByTeam) {
        if (!isPending(job) || !isWithinLimitOfTeam(job, cpusByTeam)) {
            return false;
        }
        Map<String, Integer> byZone = RunningTasks.byZone(world, job);
        return world.workers.values().stream()
                .anyMatch(agent -> hasRoom(agent, job) && PlacementInvariant.allowsOneMore(agent, job, byZone));
    }

    private boolean isPending(SimulatedUsers.Job job) {
        return isOpen(job) && hasUnstartedTask(job) && !(job.broken && wasTriedLately(job));
    }

    private boolean isOpen(SimulatedUsers.Job job) {
        return job.accepted
                && job.doneTold == null
                && !world.users.mayBeWithdrawn(job)
                && job.awaits.stream().allMatch(dependency -> world.store.value("final/" + dependency) != null);
    }

    private boolean wasTriedLately(SimulatedUsers.Job job) {
        return checker.lastStart(job.id).plus(MAXIMUM_WAIT).isAfter(world.now);
    }

    private boolean hasUnstartedTask(SimulatedUsers.Job job) {
        for (int index = 0; index < job.tasks; index++) {
            String task = job.id + "/" + index;
            if (!world.users.finished.contains(task) && !isOnAnyMachine(task)) {
                return true;
            }
        }
        return false;
    }

    private boolean isOnAnyMachine(String name) {
        return world.workers.values().stream()
                .anyMatch(agent -> agent.tasks.values().stream().anyMatch(task -> task.shot.equals(name)));
    }

    private boolean isWithinLimitOfTeam(SimulatedUsers.Job job, Map<String, Double> cpusByTeam) {
        PlatformSettings.Team team = world.template.teams().get(job.team);
        return team.cpusMax() <= 0
                || cpusByTeam.getOrDefault(job.team, 0.0) + job.cpus <= team.cpusMax() + InvariantChecker.CPU_TOLERANCE;
    }

    private boolean hasRoom(SimulatedAgent agent, SimulatedUsers.Job job) {
        return agent.up()
                && !agent.hung
                && !agent.faulty
                && agent.notice == null
                && PlacementInvariant.allowsMachine(agent, job)
                && cpusInUse(agent) + job.cpus
                        <= SimulatedCloud.TYPES.get(agent.type)[0] + InvariantChecker.CPU_TOLERANCE;
    }

    private double cpusInUse(SimulatedAgent agent) {
        return agent.tasks.values().stream()
                .filter(task -> !task.status.equals("exited"))
                .mapToDouble(task -> world.users.jobs.get(RunningTasks.jobOf(task.shot)).cpus)
                .sum();
    }
}
