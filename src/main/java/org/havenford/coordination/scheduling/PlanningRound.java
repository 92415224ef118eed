package org.havenford.coordination.scheduling;

import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.coordination.placement.TaskZones;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.TaskId;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.TeamQuota.Resources;

/**
 * Inputs and intermediate results of one planning round. All counts that limit placements are kept here, so that each
 * pass continues from the counts of the passes before it.
 */
final class PlanningRound {
    /** Used for jobs without zone constraints between their tasks; no task is ever added to it. */
    private static final TaskZones NO_TASK_ZONES = new TaskZones();

    final Instant now;
    final PlanningSnapshot snapshot;
    /** Machines with free capacity that accept new tasks. */
    final List<FreeCapacity> schedulable;
    /** Names of the machine types that are the only usable type of a job with pending tasks. */
    final Set<String> contendedTypes;

    final Plan plan = Plan.empty();
    /** Resources that each limited team uses, including the tasks placed in this round. */
    final Map<String, Resources> usedByTeam = new HashMap<>();
    /** The owner whose machines run the tasks of a task range, by the key of the range. */
    final Map<String, String> ownerByTaskRange = new HashMap<>();
    /** Tasks placed in this round, by job. */
    final Map<String, Set<TaskId>> placedTasks = new HashMap<>();
    /** Zones of claimed tasks, and of tasks placed in this round, of jobs whose tasks must stay together or apart. */
    final Map<String, TaskZones> zonesByJob = new HashMap<>();

    /** Number of task ranges with tasks placed on machines of this controller. */
    int ownTaskRanges;

    /** Whether paced jobs have already been placed on the machines that have their images. */
    boolean cachedImagePassDone;

    /**
     * Jobs whose tasks were found to fit no machine. Tasks that are at least as large are not tried again in this
     * round, since placements only reduce the free capacity.
     */
    private final List<JobSpec> fitNowhere = new ArrayList<>();

    /** Machines with claims that a priority may preempt, by that priority; computed once per round. */
    final Map<JobSpec.Priority, List<PreemptibleMachine>> preemptibleByPriority = new EnumMap<>(JobSpec.Priority.class);

    PlanningRound(Instant now, PlanningSnapshot snapshot, List<FreeCapacity> schedulable, Set<String> contendedTypes) {
        this.now = now;
        this.snapshot = snapshot;
        this.schedulable = schedulable;
        this.contendedTypes = contendedTypes;
    }

    /** Whether the round's time budget is used up. */
    boolean outOfTime() {
        return snapshot.outOfTime();
    }

    /** Whether the time budget is used up, or this controller has as many task ranges as it can claim. */
    boolean outOfTimeOrQuota() {
        return snapshot.outOfTime() || ownTaskRanges >= snapshot.claimQuota().maxTaskRanges();
    }

    /**
     * Returns the zones of a job's tasks. They include the tasks placed in earlier passes of this round: all passes go
     * into one claim, so with stored claims alone a later pass could break a constraint that each pass keeps by itself.
     * See apart-in-one-round.trace.
     */
    TaskZones zonesOf(Job job, ClusterState clusterState) {
        return PlacementRules.dependsOnOtherTasks(job.spec())
                ? zonesByJob.computeIfAbsent(job.id(), id -> TaskZones.ofClaims(job, clusterState))
                : NO_TASK_ZONES;
    }

    /** Records that a task of this size fits no machine. */
    void recordFitsNowhere(JobSpec spec) {
        fitNowhere.add(spec);
    }

    /** Whether a task of this or a smaller size was found to fit no machine in this round. */
    boolean fitsNowhere(JobSpec spec) {
        for (JobSpec other : fitNowhere) {
            if (spec.cpus() >= other.cpus() && spec.gpus() >= other.gpus() && spec.memGb() >= other.memGb()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of tasks of a job that were placed in this round. */
    int placedCount(Job job) {
        return placedTasks.getOrDefault(job.id(), Set.of()).size();
    }
}
