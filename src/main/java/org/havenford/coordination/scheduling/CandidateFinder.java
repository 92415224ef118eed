package org.havenford.coordination.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.MachineRecord;

/** Finds the machines on which tasks of a job may be placed. */
final class CandidateFinder {
    private final ClusterState clusterState;
    private final JobOrder jobOrder;
    private final PlacementScorer scorer;

    CandidateFinder(ClusterState clusterState, JobOrder jobOrder, PlacementScorer scorer) {
        this.clusterState = clusterState;
        this.jobOrder = jobOrder;
        this.scorer = scorer;
    }

    /**
     * Returns the candidates for the tasks of a pass by owner, the best first. If one task is pending, only the first
     * candidate of each owner is in order.
     */
    Map<String, List<PlacementCandidate>> find(JobPass pass) {
        JobSpec spec = pass.spec();
        PlanningRound round = pass.round();
        Map<String, List<PlacementCandidate>> byOwner = new TreeMap<>();
        if (round.fitsNowhere(spec)) {
            return byOwner;
        }
        double smallestCpus = smallestCpus(spec);
        double maxContendedCpus = mayUseContendedTypes(pass.job(), round) ? Double.POSITIVE_INFINITY : smallestCpus;
        boolean anyFits = false;
        for (FreeCapacity capacity : round.schedulable) {
            if (!capacity.fits(spec)) {
                continue;
            }
            anyFits = true;
            if (isEligible(capacity, pass, maxContendedCpus)) {
                double score = scorer.score(spec, capacity, smallestCpus, round.contendedTypes);
                byOwner.computeIfAbsent(capacity.owner, owner -> new ArrayList<>())
                        .add(new PlacementCandidate(score, capacity));
            }
        }
        if (!anyFits) {
            round.recordFitsNowhere(spec);
        }
        boolean onlyOnePending = pass.job().pendingCount() == 1;
        for (List<PlacementCandidate> candidates : byOwner.values()) {
            sortBestFirst(candidates, onlyOnePending);
        }
        return byOwner;
    }

    private static void sortBestFirst(List<PlacementCandidate> candidates, boolean onlyOnePending) {
        if (onlyOnePending) {
            // One task needs the best candidate only; with hundreds of single-task jobs, sorting would be expensive.
            int best = candidates.indexOf(Collections.min(candidates, PlacementCandidate.BEST_FIRST));
            Collections.swap(candidates, 0, best);
        } else {
            candidates.sort(PlacementCandidate.BEST_FIRST);
        }
    }

    private static boolean isEligible(FreeCapacity capacity, JobPass pass, double maxContendedCpus) {
        JobSpec spec = pass.spec();
        MachineRecord machine = capacity.machine;
        if (!PlacementRules.checkTask(spec, capacity.type, machine.zone(), machine.spot(), pass.zones())
                        .allowed()
                || !pass.mayUseZone(machine.zone())
                || capacity.isReservedAbove(pass.priority())) {
            return false;
        }
        if (pass.machineFilter() == MachineFilter.WITH_IMAGE && !capacity.hasOrPulls(spec.image())) {
            return false;
        }
        return capacity.type.cpus() <= maxContendedCpus
                || !pass.round().contendedTypes.contains(capacity.type.name());
    }

    /** Whether a job may use a large machine of a contended type, rather than wait longer for a smaller one. */
    private boolean mayUseContendedTypes(Job job, PlanningRound round) {
        return !round.now.isBefore(jobOrder.latestStart(job, round.now).minus(Preemption.PREEMPTION_LEAD_TIME))
                || JobPacing.hasWaitedLong(job, round.now);
    }

    private double smallestCpus(JobSpec spec) {
        return clusterState.types().values().stream()
                .filter(spec::fits)
                .mapToDouble(MachineType::cpus)
                .min()
                .orElse(0);
    }
}
