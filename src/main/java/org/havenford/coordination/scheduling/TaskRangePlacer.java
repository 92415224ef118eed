package org.havenford.coordination.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.TaskId;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.TaskRange;

/** Places the pending tasks of a job, one task range after another, each on the machines of one owner. */
final class TaskRangePlacer {
    private final CapacityIndex capacityIndex;

    TaskRangePlacer(CapacityIndex capacityIndex) {
        this.capacityIndex = capacityIndex;
    }

    /**
     * Places up to {@code quota} tasks.
     *
     * @return the number of pending tasks within the quota that found no machine
     */
    int place(JobPass pass, Map<String, List<PlacementCandidate>> candidatesByOwner, int quota) {
        if (candidatesByOwner.isEmpty()) {
            return quota;
        }
        Job job = pass.job();
        Set<TaskId> placedTasks = pass.round().placedTasks.get(job.id());
        int left = quota;
        int unplaced = 0;
        for (int i = 0; i < job.taskRangeCount() && left > 0; i++) {
            TaskRange taskRange = job.taskRange(i);
            if (taskRange.pendingCount() == 0) {
                continue;
            }
            List<TaskId> pending = taskRange.pending();
            pending.removeAll(placedTasks);
            if (pending.isEmpty()) {
                continue;
            }
            int placed = placeTaskRange(pass, i, taskRange, pending, left, candidatesByOwner);
            left -= placed;
            unplaced += Math.min(left, pending.size() - placed);
        }
        return unplaced;
    }

    /**
     * Places up to {@code maxTasks} pending tasks of a task range on machines of its chosen owner.
     *
     * @return the number of tasks placed
     */
    private int placeTaskRange(
            JobPass pass,
            int index,
            TaskRange taskRange,
            List<TaskId> pending,
            int maxTasks,
            Map<String, List<PlacementCandidate>> candidatesByOwner) {
        PlanningRound round = pass.round();
        String key = Keys.tasks(pass.job().id(), index);
        String owner = round.ownerByTaskRange.get(key);
        if (owner == null) {
            int tasks = Math.min(maxTasks, pending.size());
            owner = OwnerChooser.choose(key, index, pass.spec(), candidatesByOwner, tasks, round.snapshot);
        }
        List<PlacementCandidate> candidates = owner == null ? null : candidatesByOwner.get(owner);
        if (candidates == null) {
            return 0;
        }
        round.ownerByTaskRange.put(key, owner);
        int placed = placeOnCandidates(pass, taskRange, pending, maxTasks, candidates);
        if (placed > 0 && owner.equals(round.snapshot.claimQuota().controller())) {
            round.ownTaskRanges++;
        }
        return placed;
    }

    /**
     * Places up to {@code maxTasks} tasks on candidates of one owner, and removes candidates that have no room for
     * another task.
     *
     * @return the number of tasks placed
     */
    private int placeOnCandidates(
            JobPass pass,
            TaskRange taskRange,
            List<TaskId> pending,
            int maxTasks,
            List<PlacementCandidate> candidates) {
        int placed = 0;
        for (TaskId task : pending) {
            if (placed >= maxTasks) {
                break;
            }
            for (PlacementCandidate candidate : candidates) {
                FreeCapacity capacity = candidate.capacity();
                if (accepts(capacity, task, taskRange, pass)) {
                    place(task, capacity, pass);
                    placed++;
                    break;
                }
            }
            candidates.removeIf(candidate -> !candidate.capacity().fits(pass.spec()));
            if (candidates.isEmpty()) {
                break;
            }
        }
        return placed;
    }

    private static boolean accepts(FreeCapacity capacity, TaskId task, TaskRange taskRange, JobPass pass) {
        String machine = capacity.machine.name();
        return capacity.fits(pass.spec())
                && PlacementRules.checkZone(pass.spec(), capacity.machine.zone(), pass.zones())
                        .allowed()
                && !machine.equals(taskRange.stragglerMachine(task.index()))
                && !pass.round().snapshot.isAvoided(task, machine);
    }

    private void place(TaskId task, FreeCapacity capacity, JobPass pass) {
        JobSpec spec = pass.spec();
        PlanningRound round = pass.round();
        String machine = capacity.machine.name();
        capacity.allocate(spec);
        capacityIndex.invalidate(machine);
        if (PlacementRules.dependsOnOtherTasks(spec)) {
            pass.zones().add(capacity.machine.zone());
        }
        round.plan.placements().add(new Placement(task, machine));
        round.placedTasks.get(spec.id()).add(task);
    }
}
