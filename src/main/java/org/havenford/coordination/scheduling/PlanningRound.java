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
 * What one round of the planner has decided so far, and what it decides on. Everything that a pass counts stands here, so
 * that the next pass counts on from there.
 */
final class PlanningRound {
    /** For jobs to which it does not matter where their other tasks are; never added to. */
    private static final TaskZones ANYWHERE = new TaskZones();

    final Instant now;
    final PlanningSnapshot snapshot;
    /** Machines with free capacity that take new tasks. */
    final List<FreeCapacity> open;
    /** Names of machine types that waiting tasks can't do without. */
    final Set<String> contendedTypes;

    final Plan plan = Plan.empty();
    /** What teams use, with what this round has placed for them. */
    final Map<String, Resources> usedByTeam = new HashMap<>();
    /** The owner that takes a task range, by the key of the range. */
    final Map<String, String> ownerOf = new HashMap<>();
    /** Tasks placed in this round, by job. */
    final Map<String, Set<TaskId>> taken = new HashMap<>();
    /** Of jobs that stay together or apart: their claims, and what any pass of this round has placed. */
    final Map<String, TaskZones> zones = new HashMap<>();

    /** Task range records of which some tasks were placed on machines of this controller. */
    int ownRecords;

    /** Whether paced jobs have been given the machines that have their images. */
    boolean cachedImagesPlaced;

    /** Jobs whose tasks fit no machine: what is as large fits none either, since free capacity only shrinks. */
    private final List<JobSpec> fitNowhere = new ArrayList<>();

    /** Machines with claims that work of a priority may preempt, found once a round. */
    final Map<JobSpec.Priority, List<PreemptibleMachine>> preemptible = new EnumMap<>(JobSpec.Priority.class);

    PlanningRound(Instant now, PlanningSnapshot snapshot, List<FreeCapacity> open, Set<String> contendedTypes) {
        this.now = now;
        this.snapshot = snapshot;
        this.open = open;
        this.contendedTypes = contendedTypes;
    }

    /** Whether the round's time is used up. */
    boolean outOfTime() {
        return snapshot.outOfTime();
    }

    /** Whether the round's time is used up, or as much is planned as this controller can claim. */
    boolean outOfTimeOrQuota() {
        return snapshot.outOfTime() || ownRecords >= snapshot.claimQuota().maxTaskRanges();
    }

    /**
     * Where a job's tasks are. A job may be placed in several passes of a round, all of which go into one claim: counted
     * from the claims alone, a later pass would place what the passes together must not. apart-in-one-round.trace
     */
    TaskZones zonesOf(Job job, ClusterState clusterState) {
        return PlacementRules.dependsOnOtherTasks(job.spec())
                ? zones.computeIfAbsent(job.id(), id -> TaskZones.ofClaims(job, clusterState))
                : ANYWHERE;
    }

    /** Notes that a task of this size fits no machine. */
    void noteFitsNowhere(JobSpec spec) {
        fitNowhere.add(spec);
    }

    /** Whether a task that is no larger was found to fit no machine in this round. */
    boolean fitsNowhere(JobSpec spec) {
        for (JobSpec other : fitNowhere) {
            if (spec.cpus() >= other.cpus() && spec.gpus() >= other.gpus() && spec.memGb() >= other.memGb()) {
                return true;
            }
        }
        return false;
    }

    /** How many tasks of a job this round has placed. */
    int placed(Job job) {
        return taken.getOrDefault(job.id(), Set.of()).size();
    }
}
