package org.havenford.coordination.scheduling;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.havenford.coordination.agents.AttemptOutcome;
import org.havenford.coordination.agents.AttemptOutcomes;
import org.havenford.coordination.quota.QuotaAllocator;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.TaskRange;
import org.havenford.storage.records.TeamQuota.Resources;

/** A claim of tasks of one task range, with its transaction, while it is being built. */
final class ClaimDraft {
    final Job job;
    /** Key of the task range record. */
    final String taskRangeKey;

    final Transaction transaction = new Transaction();
    /** Keys that are locked until the outcome of the transaction is known. */
    final List<String> locks = new ArrayList<>();
    /** Outcomes of ended attempts in the same task range, which the transaction stores too. */
    final Map<Claim, AttemptOutcome> outcomes = new HashMap<>();
    /** Machines on which the claimed tasks start. */
    final Set<String> machines = new HashSet<>();
    /** Whether the job has dependencies and none of its tasks is claimed or done yet. */
    final boolean firstAfterRelease;
    /** Resources charged to the team's quota; null for a team without a limit. */
    QuotaAllocator.Charge charge;

    private final int taskRangeIndex;
    private TaskRange taskRange;
    private int claimedTasks;

    ClaimDraft(Job job, int taskRangeIndex) {
        this.job = job;
        this.taskRangeIndex = taskRangeIndex;
        taskRangeKey = Keys.tasks(job.id(), taskRangeIndex);
        locks.add(taskRangeKey);
        firstAfterRelease = !job.spec().dependencies().isEmpty() && job.claimCount() == 0 && job.doneCount() == 0;
    }

    /** Copies the current task range, and applies the known outcomes of attempts that have ended. */
    void releaseEnded(AttemptOutcomes knownOutcomes) {
        TaskRange current = job.taskRange(taskRangeIndex);
        taskRange = current.copy();
        for (Claim claim : current.claims()) {
            AttemptOutcome outcome = knownOutcomes.outcomeOf(claim);
            if (outcome != null) {
                outcomes.put(claim, outcome);
            }
        }
        TaskReleaser.apply(outcomes, taskRange);
    }

    /** Returns the task range as the transaction writes it; null before {@link #releaseEnded}. */
    TaskRange taskRange() {
        return taskRange;
    }

    int claimedTasks() {
        return claimedTasks;
    }

    /** Adds a claim of one task, charged to the quota share of {@code quotaHolder}. */
    void addClaim(Placement placement, long incarnation, Instant timeOfDay, String quotaHolder) {
        machines.add(placement.machine());
        taskRange.claim(placement.task().index(), placement.machine(), incarnation, timeOfDay, quotaHolder);
        claimedTasks++;
    }

    /** Returns the resources that one task of the job uses. */
    Resources perTask() {
        return new Resources(job.spec().cpus(), job.spec().gpus());
    }

    /**
     * Returns the machine of each new claim. An existing claim is recognized by its identity with the stored object.
     */
    @SuppressWarnings("ReferenceEquality")
    List<String> claimedMachines() {
        List<String> claimedMachines = new ArrayList<>();
        for (Claim claim : taskRange.claims()) {
            if (job.claim(claim.task().index()) != claim) {
                claimedMachines.add(claim.machine());
            }
        }
        return claimedMachines;
    }
}
