package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.havenford.coordination.agents.AgentManager;
import org.havenford.coordination.jobs.CoordinationContext;
import org.havenford.coordination.quota.QuotaAllocator;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.TaskId;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreOutcome;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;

/** Claims the tasks that are planned for this controller's machines, in one transaction for each task range. */
final class TaskClaimer {
    /**
     * Maximum number of claims queued for the store's rate limits; in a longer queue, urgent claims would wait for
     * others.
     */
    private static final int MAX_QUEUED_CLAIMS = 3;
    /** How long after a conflict of claims each task range is left to its preferred owner. */
    private static final Duration CONTENTION_PERIOD = Duration.ofSeconds(5);

    private final CoordinationContext context;
    private final AgentManager agentManager;
    private final Planner planner;
    private final Duration planningBudget;
    private final QuotaAllocator quotaAllocator;
    private final UnclaimedRangeTracker unclaimedRangeTracker = new UnclaimedRangeTracker();
    private final PreferredOwnerShortages preferredOwnerShortages = new PreferredOwnerShortages();
    private final ClaimsInFlight claimsInFlight = new ClaimsInFlight();
    private final MachineAvailability machineAvailability;
    private final FailingJobBackoff failingJobBackoff = new FailingJobBackoff();
    private final ClaimBatching claimBatching = new ClaimBatching();
    private final ClaimBuilder claimBuilder;

    /** Until when each task range is left to its preferred owner; null before the first conflict. */
    private Instant contendedUntil;
    /** Earliest time of the next plan; null before the first plan. */
    private Instant nextPlan;

    TaskClaimer(
            CoordinationContext context,
            AgentManager agentManager,
            Planner planner,
            Duration planningBudget,
            QuotaAllocator quotaAllocator) {
        this.context = context;
        this.agentManager = agentManager;
        this.planner = planner;
        this.planningBudget = planningBudget;
        this.quotaAllocator = quotaAllocator;
        claimBuilder = new ClaimBuilder(context, agentManager, quotaAllocator);
        machineAvailability = new ControllerMachineAvailability(agentManager, claimsInFlight);
    }

    /** Makes a plan, claims the tasks planned for this controller's machines, and preempts the claims that it chose. */
    void step(Instant start) {
        if (nextPlan != null && start.isBefore(nextPlan)) {
            return;
        }
        nextPlan = ClaimBatching.nextPlan(start, context.store().underPressure());
        Plan plan = planner.plan(context.loop().timeOfDay(), new Snapshot(start), machineAvailability);
        Map<String, List<Placement>> own = ownPlacements(plan, start);
        preferredOwnerShortages.removeExpired(start);
        claimInOrder(own.values(), start);
        plan.preempted().forEach(agentManager::preempt);
    }

    private void claimInOrder(Collection<List<Placement>> placementsByTaskRange, Instant start) {
        boolean underPressure = context.store().underPressure();
        for (List<Placement> placements : placementsByTaskRange) {
            if (underPressure) {
                Job job = context.clusterState().job(placements.get(0).task().job());
                if (claimBatching.isDelayed(job, placements.size(), start)) {
                    continue;
                }
            }
            if (context.store().queued(CallPriority.CLAIM) >= MAX_QUEUED_CLAIMS) {
                // Queued claims are not reordered, so the remaining ones are left to the next plan, which orders them
                // again.
                break;
            }
            claimBuilder.build(placements).ifPresent(this::commit);
        }
    }

    /** Discards the state kept for a job that has ended. */
    void jobEnded(Job job) {
        failingJobBackoff.jobEnded(job);
        claimBatching.jobEnded(job);
    }

    /** Discards measured waiting times, since the state of other owners during the pause of this process is unknown. */
    void processPaused() {
        unclaimedRangeTracker.clear();
        preferredOwnerShortages.clear();
    }

    /** Inputs of one planning round, constant except for the clock and the recorded shortages. */
    private final class Snapshot implements PlanningSnapshot {
        private final Instant start;
        private final Instant deadline;
        private final List<String> owners;
        private final boolean contended;
        private final ClaimQuota claimQuota;

        Snapshot(Instant start) {
            this.start = start;
            deadline = start.plus(planningBudget);
            owners = List.copyOf(context.membership().view().activeMembers());
            contended = contendedUntil != null && start.isBefore(contendedUntil);
            int maxTaskRanges = ClaimBatching.maxTaskRanges(context.store().underPressure());
            claimQuota = new ClaimQuota(context.node(), maxTaskRanges);
        }

        @Override
        public Instant monotonicNow() {
            return start;
        }

        @Override
        public boolean outOfTime() {
            return context.loop().now().isAfter(deadline);
        }

        @Override
        public List<String> owners() {
            return owners;
        }

        @Override
        public ClaimQuota claimQuota() {
            return claimQuota;
        }

        @Override
        public boolean isContended() {
            return contended;
        }

        @Override
        public boolean isBackingOff(Job job) {
            return failingJobBackoff.isBackingOff(job, start);
        }

        @Override
        public boolean isAvoided(TaskId task, String machine) {
            return agentManager.shouldAvoid(task, machine);
        }

        @Override
        public boolean isPassedOver(String taskRangeKey, String owner) {
            return unclaimedRangeTracker.isPassedOver(taskRangeKey, owner);
        }

        @Override
        public boolean mayBeClaimedByOthers(String taskRangeKey) {
            return preferredOwnerShortages.mayBeClaimedByOthers(taskRangeKey, start);
        }
    }

    /**
     * Returns placements on this controller's machines by task range key, and records those planned for other owners.
     */
    private Map<String, List<Placement>> ownPlacements(Plan plan, Instant start) {
        Map<String, List<Placement>> own = new LinkedHashMap<>();
        Set<String> foreign = new HashSet<>();
        for (Placement placement : plan.placements()) {
            Job job = context.clusterState().job(placement.task().job());
            String key =
                    Keys.tasks(job.id(), job.taskRangeIndex(placement.task().index()));
            String owner = context.membership().owner(placement.machine());
            if (context.node().equals(owner)) {
                own.computeIfAbsent(key, k -> new ArrayList<>()).add(placement);
            } else if (foreign.add(key) && !context.store().underPressure()) {
                unclaimedRangeTracker.recordPlanned(key, owner, start);
            }
        }
        unclaimedRangeTracker.removeExpired(foreign, start);
        return own;
    }

    private void commit(ClaimDraft draft) {
        JobSpec spec = draft.job.spec();
        List<String> claimedMachines = draft.claimedMachines();
        claimedMachines.forEach(name -> claimsInFlight.add(name, spec));
        context.writer()
                .commit(
                        draft.transaction,
                        CallPriority.CLAIM,
                        draft.locks,
                        () -> onCommitted(draft),
                        result -> onOutcome(draft, claimedMachines, result.outcome()));
    }

    private void onCommitted(ClaimDraft draft) {
        agentManager.outcomes().remove(draft.outcomes.keySet());
        context.loop().after(Duration.ZERO, () -> draft.machines.forEach(agentManager::sendCommands));
        if (draft.firstAfterRelease) {
            context.pipelineMetrics()
                    .recordFirstClaim(draft.job.releasedAt(), context.loop().timeOfDay());
        }
    }

    private void onOutcome(ClaimDraft draft, List<String> claimedMachines, StoreOutcome outcome) {
        claimedMachines.forEach(machine -> removeInFlight(machine, draft.job.spec()));
        if (draft.charge != null && outcome != StoreOutcome.UNKNOWN) {
            quotaAllocator.removeCharge(draft.charge);
        }
        if (outcome == StoreOutcome.CONFLICT) {
            contendedUntil = context.loop().now().plus(CONTENTION_PERIOD);
        }
    }

    private void removeInFlight(String machine, JobSpec spec) {
        claimsInFlight.remove(machine, spec);
        planner.invalidateMachine(machine);
    }
}
