package org.havenford.coordination.scheduling;

import com.google.gson.JsonObject;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.havenford.coordination.agents.AgentManager;
import org.havenford.coordination.agents.AgentState;
import org.havenford.coordination.jobs.CoordinationContext;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.coordination.quota.QuotaAllocator;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.TeamQuota.Resources;

/** Builds the transaction that claims planned tasks of one task range. */
final class ClaimBuilder {
    /** Conditions kept free for the view, the job, its task range and the team's quota, with a margin. */
    private static final int OTHER_CONDITIONS = 6;

    private final CoordinationContext context;
    private final AgentManager agentManager;
    private final QuotaAllocator quotaAllocator;

    ClaimBuilder(CoordinationContext context, AgentManager agentManager, QuotaAllocator quotaAllocator) {
        this.context = context;
        this.agentManager = agentManager;
        this.quotaAllocator = quotaAllocator;
    }

    /** Builds the claim of planned tasks of one task range; empty if none of them can be claimed now. */
    Optional<ClaimDraft> build(List<Placement> planned) {
        Job job = context.clusterState().job(planned.get(0).task().job());
        if (job.awaitsDependencies()) {
            // The planner leaves such jobs out. This check, with the condition on the header's revision below,
            // guarantees that no task starts before the job's dependencies are done.
            return Optional.empty();
        }
        ClaimDraft draft =
                new ClaimDraft(job, job.taskRangeIndex(planned.get(0).task().index()));
        requireRevision(Keys.VIEW, context.membership().viewRevision(), draft);
        requireRevision(Keys.job(job.id()), draft);
        requireRevision(draft.taskRangeKey, draft);
        PlatformSettings.Team team = context.settings().teams().get(job.spec().team());
        boolean limited = team != null && team.isLimited();
        int allowed = limited ? allocateQuota(draft, team, planned.size()) : planned.size();
        if (PlacementRules.dependsOnOtherTasks(job.spec())) {
            rewriteHeader(draft);
        }
        if (draft.locks.stream().anyMatch(context.writer()::isLocked)) {
            return Optional.empty();
        }
        List<Placement> permitted = PlacementGuard.permitted(job, planned.subList(0, allowed), context.clusterState());
        draft.releaseEnded(agentManager.outcomes());
        addClaims(draft, permitted, limited ? context.node() : "");
        JsonObject taskRange = draft.claimedTasks() == 0 ? null : context.encodeTaskRange(draft.taskRange());
        if (taskRange == null) {
            return Optional.empty();
        }
        draft.transaction.put(draft.taskRangeKey, taskRange);
        if (limited) {
            charge(draft, team);
        }
        return Optional.of(draft);
    }

    private void requireRevision(String key, ClaimDraft draft) {
        requireRevision(key, context.modRevision(key), draft);
    }

    private static void requireRevision(String key, long revision, ClaimDraft draft) {
        draft.transaction.requireRevision(key, revision);
    }

    /**
     * Rewrites the header of a job whose tasks must stay together or apart. Each claim is conditional on the header's
     * revision, so two concurrent claims of such a job conflict, even on different task ranges.
     */
    private static void rewriteHeader(ClaimDraft draft) {
        String header = Keys.job(draft.job.id());
        draft.locks.add(header);
        draft.transaction.put(header, draft.job.header(false));
    }

    /** Allocates the team's quota for up to {@code wanted} tasks, and returns the number of tasks it allows. */
    private int allocateQuota(ClaimDraft draft, PlatformSettings.Team team, int wanted) {
        int allowed = quotaAllocator.allocate(team, draft.perTask(), wanted, draft.transaction);
        if (draft.transaction.operationCount() > 0) {
            draft.locks.add(Keys.team(team.name()));
        }
        return allowed;
    }

    private void charge(ClaimDraft draft, PlatformSettings.Team team) {
        Resources taken = draft.perTask().times(draft.claimedTasks());
        long viewRevision = context.membership().viewRevision();
        draft.charge = new QuotaAllocator.Charge(
                team.name(),
                taken,
                draft.job.id(),
                draft.taskRangeKey,
                context.modRevision(draft.taskRangeKey),
                viewRevision);
        quotaAllocator.addCharge(draft.charge);
    }

    private void addClaims(ClaimDraft draft, List<Placement> placements, String quotaHolder) {
        Set<String> batches = new HashSet<>();
        int maxBatches = context.transactionLimits().maxConditions() - OTHER_CONDITIONS;
        for (Placement placement : placements) {
            String machine = placement.machine();
            AgentState agent = agentManager.agent(machine);
            Set<String> batchesOfMachine = context.clusterState().batchNamesOf(machine);
            if (agent == null || !agent.hasReported() || context.clusterState().machine(machine) == null) {
                continue;
            }
            if (batches.size() + batchesOfMachine.size() > maxBatches || isAnyLocked(batchesOfMachine)) {
                continue;
            }
            // Returning a machine to the cloud changes its batch, so the claim is conditional on the batch's revision.
            for (String batch : batchesOfMachine) {
                if (batches.add(batch)) {
                    requireRevision(Keys.batch(batch), draft);
                }
            }
            draft.addClaim(placement, agent.incarnation(), context.loop().timeOfDay(), quotaHolder);
        }
    }

    private boolean isAnyLocked(Set<String> batches) {
        return batches.stream().anyMatch(batch -> context.writer().isLocked(Keys.batch(batch)));
    }
}
