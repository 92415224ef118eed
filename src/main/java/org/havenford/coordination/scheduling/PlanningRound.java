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
    final Planner.Limits limits;
    final List<FreeCapacity> open;
    final Planner.Plan out;
    final Map<String, Resources> used = new HashMap<>();
    final Map<String, String> ownerOf = new HashMap<>();
    final Map<String, Set<TaskId>> taken = new HashMap<>();
    /** Of jobs that stay together or apart: their claims, and what any pass of this round has placed. */
    final Map<String, TaskZones> zones = new HashMap<>();

    /** Records of tasks of which some were placed on machines of this controller. */
    int ownRecords;

    /** Whether paced jobs have been given the machines that have their images. */
    boolean imagesKept;

    /** Amounts that no machine had room for: what is as large finds none either, since room only shrinks. */
    private final List<JobSpec> fitNowhere = new ArrayList<>();

    final Map<JobSpec.Priority, List<Preemption.PreemptibleMachine>> stoppable = new EnumMap<>(JobSpec.Priority.class);

    PlanningRound(Instant now, Planner.Limits limits, List<FreeCapacity> open, Planner.Plan out) {
        this.now = now;
        this.limits = limits;
        this.open = open;
        this.out = out;
    }

    /**
     * Where a job's tasks are. A job may be placed in several passes of a round, all of which go into one claim: counted
     * from the claims alone, a later pass would place what the passes together must not. apart-in-one-round.trace
     */
    TaskZones zonesOf(Job job, ClusterState clusterState) {
        return PlacementRules.dependOnOthers(job.spec())
                ? zones.computeIfAbsent(job.id(), id -> TaskZones.ofClaims(job, clusterState))
                : ANYWHERE;
    }

    /** No machine has room for a task of this size. */
    void noteFitsNowhere(JobSpec spec) {
        fitNowhere.add(spec);
    }

    /** Whether a task that is no larger has found no room in this round. */
    boolean fitsNowhere(JobSpec spec) {
        for (JobSpec other : fitNowhere) {
            if (spec.cpus() >= other.cpus() && spec.gpus() >= other.gpus() && spec.memGb() >= other.memGb()) {
                return true;
            }
        }
        return false;
    }

    int placed(Job job) {
        return taken.getOrDefault(job.id(), Set.of()).size();
    }
}
