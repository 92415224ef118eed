package org.havenford.simulator;

import com.google.gson.JsonElement;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.havenford.settings.PlatformSettings;

/** Checks the rules of the protocol after every event, against the actual state of the simulated machines. */
final class InvariantChecker {
    /** The tolerance for rounding errors when a sum of CPUs is compared with a limit. */
    static final double CPU_TOLERANCE = 1e-6;

    private static final Duration MAX_TIME_WITHOUT_ANSWER = Duration.ofSeconds(75);
    private static final Duration UNCHANGED_CHECK_INTERVAL = Duration.ofMillis(500);
    private static final Duration WAITING_CHECK_INTERVAL = Duration.ofSeconds(5);
    private static final int MAX_RECORDED_VIOLATIONS = 20;

    private final ClusterSimulator simulator;
    private final PlacementInvariant placement;
    private final WaitingInvariant waiting;
    private final FailoverInvariant takeover;
    private final ClaimInvariant claims;
    /** Whether each running attempt must be claimed in the store. */
    boolean checksClaims;
    /** The first violations, each with its time and rule. */
    final List<String> violations = new ArrayList<>();

    /** How many tasks have started. */
    int starts;
    /**
     * How many tasks started after the cancellation of their job was confirmed. Such a start is a violation only once the
     * cancellation limit has passed.
     */
    int startsAfterCancel;

    private final Map<String, Integer> startsByJob = new HashMap<>();
    private final Map<String, Instant> lastStartByJob = new HashMap<>();
    /** Whether the state of a machine has changed since the last check. */
    private boolean changed = true;

    private Instant lastWaitingCheck = Instant.MIN;
    private Instant lastCheck = Instant.MIN;
    /** When the last fault of the run ends; the rules on unanswered queries and waiting jobs apply only from then on. */
    Instant faultsEndAt = Instant.EPOCH;
    /** Whether waiting jobs are checked. Only runs of a trace set this, because they set {@link #faultsEndAt}. */
    boolean checksWaitingJobs;

    InvariantChecker(ClusterSimulator simulator) {
        this.simulator = simulator;
        placement = new PlacementInvariant(simulator, this);
        waiting = new WaitingInvariant(simulator, this);
        takeover = new FailoverInvariant(simulator, this);
        claims = new ClaimInvariant(simulator, this);
    }

    /** Records a violation of a rule. */
    void recordViolation(String rule, String detail) {
        String line = String.format("%.3f %s: %s", simulator.seconds(), rule, detail);
        if (violations.size() < MAX_RECORDED_VIOLATIONS) {
            violations.add(line);
        }
        simulator.logLine("BROKEN " + rule + " " + detail);
    }

    /** Returns how many times tasks of a job have started. */
    int starts(String job) {
        return startsByJob.getOrDefault(job, 0);
    }

    /** Returns when a task of a job last started; {@link Instant#MIN} if none has. */
    Instant lastStart(String job) {
        return lastStartByJob.getOrDefault(job, Instant.MIN);
    }

    /** Records which agents report to a controller that is about to crash. */
    void controllerCrashed(String node) {
        takeover.controllerEnded(node);
    }

    /** Checks that new owners have taken over the agents of the controller that crashed last. */
    void checkTakeover() {
        takeover.check();
    }

    /** Records a change on a machine, which makes the next check due at once. */
    void machineChanged() {
        changed = true;
    }

    /** Records the start of a task and checks the rules on starts. */
    void taskStarted(SimulatedAgent agent, SimulatedAgent.Attempt attempt) {
        String jobId = RunningTasks.jobIdOf(attempt.taskId);
        starts++;
        startsByJob.merge(jobId, 1, Integer::sum);
        lastStartByJob.put(jobId, simulator.now);
        changed = true;
        simulator.logLine(attempt.taskId + " take " + attempt.attempt + " starts on " + agent.name);
        SimulatedUsers.Job job = simulator.users.jobs.get(jobId);
        if (job.firstStartedAt == null) {
            job.firstStartedAt = simulator.now;
        }
        checkRunsOnce(agent, attempt);
        placement.check(agent, attempt, job);
        checkDependenciesDone(attempt, job);
        checkNotCancelled(attempt, job);
    }

    private void checkRunsOnce(SimulatedAgent agent, SimulatedAgent.Attempt attempt) {
        for (SimulatedAgent other : simulator.agents.values()) {
            for (SimulatedAgent.Attempt otherAttempt : other.tasks.values()) {
                if (otherAttempt != attempt
                        && RunningTasks.isRunning(other, otherAttempt)
                        && otherAttempt.taskId.equals(attempt.taskId)) {
                    recordViolation("ran_twice", attempt.taskId + " on " + other.name + " and " + agent.name);
                }
            }
        }
    }

    private void checkDependenciesDone(SimulatedAgent.Attempt attempt, SimulatedUsers.Job job) {
        for (String dependency : job.prerequisites) {
            JsonElement end = simulator.store.value("final/" + dependency);
            if (end == null
                    || !end.getAsJsonObject().get("status").getAsString().equals("done")) {
                recordViolation("too_early", attempt.taskId + " starts before " + dependency + " is done");
            }
        }
    }

    private void checkNotCancelled(SimulatedAgent.Attempt attempt, SimulatedUsers.Job job) {
        if (job.cancelConfirmedAt != null) {
            startsAfterCancel++;
            simulator.logLine(attempt.taskId + " starts after its job was cancelled");
        }
        if (isCancellationOverdue(job)) {
            recordViolation("ran_cancelled", attempt.taskId + " starts after the cancellation limit");
        }
    }

    /** Returns whether the cancellation limit has passed since the cancellation of a job was confirmed. */
    private boolean isCancellationOverdue(SimulatedUsers.Job job) {
        return job.cancelConfirmedAt != null
                && Duration.between(job.cancelConfirmedAt, simulator.now)
                                .compareTo(simulator.commonSettings.cancellationLimit())
                        > 0;
    }

    /**
     * Checks all running tasks, if a machine has changed or {@link #UNCHANGED_CHECK_INTERVAL} has passed since the last
     * check.
     */
    void check() {
        if (!changed && simulator.now.isBefore(lastCheck.plus(UNCHANGED_CHECK_INTERVAL))) {
            return;
        }
        changed = false;
        lastCheck = simulator.now;
        Map<String, Double> cpusByTeam = checkRunningTasks();
        if (checksWaitingJobs && !simulator.now.isBefore(lastWaitingCheck.plus(WAITING_CHECK_INTERVAL))) {
            lastWaitingCheck = simulator.now;
            checkWaiting(cpusByTeam);
        }
        cpusByTeam.forEach(this::checkQuota);
    }

    /**
     * Checks that no task of a cancelled job is running beyond the cancellation limit. Returns the CPUs used by the running
     * tasks of each team.
     */
    private Map<String, Double> checkRunningTasks() {
        Map<String, Double> cpusByTeam = new HashMap<>();
        for (SimulatedAgent agent : simulator.agents.values()) {
            for (SimulatedAgent.Attempt attempt : agent.tasks.values()) {
                if (!RunningTasks.isRunning(agent, attempt)) {
                    continue;
                }
                SimulatedUsers.Job job = simulator.users.jobs.get(RunningTasks.jobIdOf(attempt.taskId));
                cpusByTeam.merge(job.team, job.cpus, Double::sum);
                if (checksClaims) {
                    claims.check(agent, attempt);
                }
                if (isCancellationOverdue(job)) {
                    recordViolation("ran_cancelled", attempt.taskId + " is still running on " + agent.name);
                }
            }
        }
        return cpusByTeam;
    }

    private void checkWaiting(Map<String, Double> cpusByTeam) {
        if (simulator.now.isBefore(faultsEndAt)) {
            waiting.reset();
        } else {
            waiting.check(cpusByTeam);
        }
    }

    private void checkQuota(String team, double cpus) {
        PlatformSettings.Team limit = simulator.commonSettings.teams().get(team);
        if (limit.cpusMax() > 0 && cpus > limit.cpusMax() + CPU_TOLERANCE) {
            recordViolation("quota", team + " uses " + cpus + " CPUs");
        }
    }

    /**
     * Records that a query of a job failed, and checks that the job has not been without an answer for longer than
     * {@link #MAX_TIME_WITHOUT_ANSWER}. Time before the end of the last fault does not count.
     */
    void checkUnanswered(SimulatedUsers.Job job) {
        Instant since = job.lastAnsweredAt.isAfter(faultsEndAt) ? job.lastAnsweredAt : faultsEndAt;
        if (Duration.between(since, simulator.now).compareTo(MAX_TIME_WITHOUT_ANSWER) > 0) {
            double second = Duration.between(Instant.EPOCH, since).toMillis() / 1e3;
            recordViolation("forgotten", job.id + " has had no answer since " + second);
        }
    }

    /** Checks at the end of a run that no class, team or large job was starved. */
    void checkFairness() {
        new FairnessInvariant(simulator, this).check();
    }
}
