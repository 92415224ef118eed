package org.havenford.coordination.scheduling;

import java.util.List;
import java.util.Map;
import org.havenford.protocol.JobSpec;

/**
 * Chooses the owner whose machines run the tasks of a task range. Each task range has a preferred owner, derived from
 * the job's id and the index of the range. Another owner is chosen only if its candidates are clearly better, so that
 * controllers whose replicas differ slightly still make the same choice.
 */
final class OwnerChooser {
    /** Penalty per task for an owner other than the preferred one, in seconds of image pull time. */
    private static final double OTHER_OWNER_PENALTY_SECONDS = 0.8;
    /** Penalty for a task for which an owner has no capacity, in seconds of image pull time. */
    private static final double NO_CAPACITY_PENALTY_SECONDS = 30;
    /** Reduces the hash code of a job's id to a non-negative index. */
    private static final int HASH_MASK = 0xffff;

    private OwnerChooser() {}

    /** Returns the owner whose machines run up to {@code tasks} tasks of a task range, or null if none should now. */
    static String choose(
            String taskRangeKey,
            int taskRangeIndex,
            JobSpec spec,
            Map<String, List<PlacementCandidate>> candidatesByOwner,
            int tasks,
            PlanningSnapshot snapshot) {
        List<String> owners = snapshot.owners();
        String best = null;
        double leastCost = Double.MAX_VALUE;
        int preferredIndex = (spec.id().hashCode() & HASH_MASK) + taskRangeIndex;
        for (int i = 0; i < owners.size(); i++) {
            String owner = owners.get((preferredIndex + i) % owners.size());
            List<PlacementCandidate> candidates = candidatesByOwner.getOrDefault(owner, List.of());
            if (candidates.isEmpty() || snapshot.isPassedOver(taskRangeKey, owner)) {
                continue;
            }
            if (snapshot.isContended()) {
                return i == 0 || snapshot.mayBeClaimedByOthers(taskRangeKey) ? owner : null;
            }
            double cost = cost(spec, candidates, tasks) + (i == 0 ? 0 : OTHER_OWNER_PENALTY_SECONDS * tasks);
            if (cost < leastCost) {
                leastCost = cost;
                best = owner;
            }
        }
        return best;
    }

    private static double cost(JobSpec spec, List<PlacementCandidate> candidates, int tasks) {
        double cost = 0;
        int left = tasks;
        for (PlacementCandidate candidate : candidates) {
            if (left <= 0) {
                break;
            }
            int placed = Math.min(left, candidate.capacity().slots(spec));
            cost += placed * candidate.score();
            left -= placed;
        }
        return cost + left * NO_CAPACITY_PENALTY_SECONDS;
    }
}
