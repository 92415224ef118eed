package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.coordination.placement.TaskZones;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.MachineRecord;

/** Chooses claims to give up so that more urgent work can start. */
final class Preemption {
    /** A job presses from so long before its latest start. */
    static final Duration PRESSING_BEFORE = Duration.ofSeconds(7);
    /** After so long it is too late to stop others for it. */
    private static final Duration PRESSING_AFTER = Duration.ofSeconds(20);
    /** Work of more than this is not stopped for other work. */
    private static final Duration MOST_LOST = Duration.ofSeconds(20);
    /** Time that a stopped task is taken to need until it starts again. */
    private static final Duration AGAIN = Duration.ofSeconds(25);

    private final ClusterState clusterState;
    private final JobOrder order;
    private final Collection<FreeCapacity> capacities;
    private final Consumer<String> changed;

    /** {@code changed} is told of machines whose capacity has to be worked out anew. */
    Preemption(
            ClusterState clusterState, JobOrder order, Collection<FreeCapacity> capacities, Consumer<String> changed) {
        this.clusterState = clusterState;
        this.order = order;
        this.capacities = capacities;
        this.changed = changed;
    }

    /** Whether a job of high priority is about to miss the start that its class aims at. */
    boolean isPressing(Job job, Instant now) {
        if (order.priority(job).compareTo(JobSpec.Priority.NORMAL) >= 0 || FailingJobBackoff.isSuspect(job)) {
            return false;
        }
        Instant latest = order.latestStart(job, now);
        return now.isAfter(latest.minus(PRESSING_BEFORE)) && now.isBefore(latest.plus(PRESSING_AFTER));
    }

    /** Claims on one machine that make capacity for a task, and what is lost with them. */
    private record Victims(FreeCapacity capacity, List<Claim> claims, long loss) {}

    /**
     * Finds work of lower priority to stop: as little as possible of what has been done is lost, and only what can still
     * be in time afterwards is taken. The order does not depend on who looks, and until the stop is confirmed the same
     * claims are found again; so controllers and rounds do not stop more and more for the same need.
     */
    void preempt(
            JobSpec spec, JobSpec.Priority priority, int tasks, TaskZones zones, String onlyZone, PlanningRound round) {
        List<Victims> found = new ArrayList<>();
        for (PreemptibleMachine r : round.stoppable.computeIfAbsent(priority, p -> stoppable(p, round))) {
            MachineRecord machine = r.capacity.machine;
            boolean allowed = PlacementRules.task(spec, r.capacity.type, machine.zone(), machine.spot(), zones)
                    .allowed();
            if (allowed && (onlyZone == null || onlyZone.equals(machine.zone()))) {
                Victims v = victims(r, spec, round.now);
                if (v != null) {
                    found.add(v);
                }
            }
        }
        found.sort(Comparator.comparingLong(Victims::loss)
                .thenComparing(v -> v.capacity().machine.name()));
        int made = 0;
        TaskZones withMade = zones.copy();
        for (Victims v : found) {
            if (made >= tasks) {
                return;
            }
            String zone = v.capacity().machine.zone();
            if (!PlacementRules.zone(spec, zone, withMade).allowed()) {
                continue;
            }
            for (Claim claim : v.claims()) {
                v.capacity().release(clusterState.job(claim.task().job()).spec());
                v.capacity().claims.remove(claim);
                round.out.preempted().add(claim);
            }
            changed.accept(v.capacity().machine.name());
            while (made < tasks
                    && v.capacity().fits(spec)
                    && PlacementRules.zone(spec, zone, withMade).allowed()) {
                v.capacity().allocate(spec);
                withMade.add(zone);
                made++;
            }
        }
    }

    /** A machine and the claims on it that work of some priority may stop, the youngest first. */
    record PreemptibleMachine(FreeCapacity capacity, List<Claim> claims) {}

    /** Looked for once a round: there may be dozens of jobs that press, and thousands of claims. */
    private List<PreemptibleMachine> stoppable(JobSpec.Priority than, PlanningRound round) {
        List<PreemptibleMachine> out = new ArrayList<>();
        for (FreeCapacity capacity : capacities) {
            List<Claim> young = null;
            for (Claim claim : capacity.claims) {
                if (spare(claim, than, round.now)) {
                    young = young == null ? new ArrayList<>(4) : young;
                    young.add(claim);
                }
            }
            if (young != null && capacity.takesTasks(round.limits.steadyNow())) {
                young.sort(Comparator.comparing(Claim::claimedAt).reversed().thenComparing(Claim::task));
                out.add(new PreemptibleMachine(capacity, young));
            }
        }
        return out;
    }

    private Victims victims(PreemptibleMachine in, JobSpec spec, Instant now) {
        List<Claim> victims = new ArrayList<>(4);
        FreeCapacity capacity = in.capacity();
        double cpus = capacity.cpus;
        double cards = capacity.gpus;
        double mem = capacity.mem;
        long loss = 0;
        for (Claim claim : in.claims()) {
            if (spec.cpus() <= cpus + 1e-6 && spec.gpus() <= cards + 1e-6 && spec.memGb() <= mem + 1e-6) {
                break;
            }
            if (!capacity.claims.contains(claim)) {
                // Stopped already for a job before this one.
                continue;
            }
            JobSpec v = clusterState.job(claim.task().job()).spec();
            cpus += v.cpus();
            cards += v.gpus();
            mem += v.memGb();
            loss += (long) (v.cpus() * Duration.between(claim.claimedAt(), now).toMillis());
            victims.add(claim);
        }
        boolean enough = spec.cpus() <= cpus + 1e-6 && spec.gpus() <= cards + 1e-6 && spec.memGb() <= mem + 1e-6;
        return enough && !victims.isEmpty() ? new Victims(capacity, victims, loss) : null;
    }

    /** Low work that saves its progress when it is stopped loses little, however long it has run. */
    private boolean savesLowWork(Job job) {
        return order.priority(job) == JobSpec.Priority.LOW
                && !job.spec().checkpointInterval().isZero();
    }

    private boolean spare(Claim claim, JobSpec.Priority than, Instant now) {
        Job job = clusterState.job(claim.task().job());
        if (job == null || job.cancelled() || order.priority(job).compareTo(than) <= 0) {
            return false;
        }
        boolean losesMuch = claim.claimedAt().plus(MOST_LOST).isBefore(now);
        if (losesMuch && !savesLowWork(job)) {
            return false;
        }
        Instant due = order.deadline(job);
        return due == null
                || now.plus(AGAIN)
                        .plusMillis((long) (JobOrder.runSeconds(job) * 1000))
                        .isBefore(due);
    }
}
