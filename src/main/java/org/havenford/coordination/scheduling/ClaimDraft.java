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

/** The claim of tasks of one task range while it is put together. */
final class ClaimDraft {
    final Job job;
    /** Key of the task range record. */
    final String key;

    final Transaction transaction = new Transaction();
    /** Keys that are locked until the transaction has been answered. */
    final List<String> locks = new ArrayList<>();
    /** Outcomes of the same task range that the transaction releases. */
    final Map<Claim, AttemptOutcome> outcomes = new HashMap<>();
    /** Machines that the claimed tasks start on. */
    final Set<String> machines = new HashSet<>();
    /** Whether these are the first tasks of a job that had to wait for other jobs. */
    final boolean firstAfterRelease;
    /** What the claim charges to the team's quota; null for a team without limit. */
    QuotaAllocator.Charge charge;

    private final int taskRangeIndex;
    private TaskRange taskRange;
    private int claimedTasks;

    ClaimDraft(Job job, int taskRangeIndex) {
        this.job = job;
        this.taskRangeIndex = taskRangeIndex;
        key = Keys.tasks(job.id(), taskRangeIndex);
        locks.add(key);
        firstAfterRelease = !job.spec().dependencies().isEmpty() && job.claimCount() == 0 && job.doneCount() == 0;
    }

    /** Begins with the current task range, less the claims whose attempts are known to have ended. */
    void releaseEnded(AttemptOutcomes known) {
        TaskRange current = job.taskRange(taskRangeIndex);
        taskRange = current.copy();
        for (Claim claim : current.claims()) {
            AttemptOutcome outcome = known.of(claim);
            if (outcome != null) {
                outcomes.put(claim, outcome);
            }
        }
        TaskReleaser.apply(outcomes, taskRange);
    }

    /** The task range as the transaction writes it; null before {@link #releaseEnded}. */
    TaskRange taskRange() {
        return taskRange;
    }

    int claimedTasks() {
        return claimedTasks;
    }

    /** Adds a claim of one task. */
    void claim(Placement placement, long incarnation, Instant timeOfDay, String account) {
        machines.add(placement.machine());
        taskRange.claim(placement.task().index(), placement.machine(), incarnation, timeOfDay, account);
        claimedTasks++;
    }

    /** What one task of the job uses. */
    Resources perTask() {
        return new Resources(job.spec().cpus(), job.spec().gpus());
    }

    /** Machines of the new claims, one for each; a claim that was kept is the same object as before. */
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
