package org.havenford.simulator;

import com.google.gson.JsonElement;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;

/** Checks that each attempt which runs is claimed in the store, for this machine and this incarnation of its agent. */
final class ClaimInvariant {
    private final ClusterSimulator simulator;
    private final InvariantChecker checker;

    ClaimInvariant(ClusterSimulator simulator, InvariantChecker checker) {
        this.simulator = simulator;
        this.checker = checker;
    }

    /** Checks an attempt that runs on a machine. */
    void check(SimulatedAgent agent, SimulatedAgent.Attempt attempt) {
        Claim claim = storedClaim(attempt.taskId);
        boolean claimed = claim != null
                && claim.attempt() == attempt.attempt
                && claim.machine().equals(agent.name)
                && claim.incarnation() == agent.incarnation;
        if (!claimed) {
            checker.recordViolation(
                    "unclaimed", attempt.taskId + " attempt " + attempt.attempt + " runs on " + agent.name);
        }
    }

    private Claim storedClaim(String taskId) {
        String jobId = RunningTasks.jobIdOf(taskId);
        int task = Integer.parseInt(taskId.substring(jobId.length() + 1));
        JsonElement header = simulator.store.value(Keys.job(jobId));
        if (header == null) {
            return null;
        }
        try {
            Job job = Job.parse(header.getAsJsonObject());
            int index = job.taskRangeIndex(task);
            JsonElement taskRange = simulator.store.value(Keys.tasks(jobId, index));
            return taskRange == null
                    ? null
                    : job.emptyTaskRange(index)
                            .read(taskRange.getAsJsonObject())
                            .claim(task);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }
}
