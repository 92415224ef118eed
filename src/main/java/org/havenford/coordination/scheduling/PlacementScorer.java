package org.havenford.coordination.scheduling;

import java.util.Set;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.storage.records.MachineRecord;

/**
 * Scores a machine for the next task of a job, in seconds of image pull time; lower is better. Packs tasks tightly:
 * among machines that would start the task equally soon, the fullest one has the lowest score.
 */
final class PlacementScorer {
    /** Penalty, in seconds, for a machine larger than needed, which is left to tasks that need its size. */
    private static final double LARGER_THAN_NEEDED_SECONDS = 2;
    /** The same penalty while such tasks are pending. */
    private static final double LARGE_AND_CONTENDED_SECONDS = 3;
    /** Penalty, in seconds, for an on-demand machine, which costs more; left idle, it can be returned to the cloud. */
    private static final double ON_DEMAND_SECONDS = 0.3;
    /** Penalty, in seconds per second of run time, for a spot machine, which may be interrupted. */
    private static final double SPOT_RISK_PER_SECOND = 0.05;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final boolean speedFirst;

    /** Creates a scorer; with {@code speedFirst}, early completion matters more than the price of machines. */
    PlacementScorer(boolean speedFirst) {
        this.speedFirst = speedFirst;
    }

    /**
     * Returns the score of a machine.
     *
     * @param smallestCpus CPUs of the smallest machine type that fits a task of the job
     * @param contendedTypes names of the machine types that are the only usable type of a job with pending tasks
     */
    double score(JobSpec spec, FreeCapacity capacity, double smallestCpus, Set<String> contendedTypes) {
        return capacity.pullSeconds(spec)
                + (capacity.cpus - spec.cpus()) / capacity.type.cpus()
                + sizePenalty(capacity.type, smallestCpus, contendedTypes)
                + pricingPenalty(spec, capacity.machine);
    }

    private static double sizePenalty(MachineType type, double smallestCpus, Set<String> contendedTypes) {
        if (type.cpus() <= smallestCpus) {
            return 0;
        }
        return contendedTypes.contains(type.name()) ? LARGE_AND_CONTENDED_SECONDS : LARGER_THAN_NEEDED_SECONDS;
    }

    /**
     * Returns the penalty for the pricing model of a machine. If cost matters, on-demand machines are avoided, so that
     * they become idle. If speed matters, long tasks without checkpoints avoid spot machines, since a run that is
     * interrupted near its end has to be repeated in full.
     */
    private double pricingPenalty(JobSpec spec, MachineRecord machine) {
        if (!speedFirst) {
            return machine.spot() ? 0 : ON_DEMAND_SECONDS;
        }
        boolean losesWork = machine.spot() && spec.checkpointInterval().isZero();
        return losesWork ? spec.estimatedDuration().toMillis() / MILLIS_PER_SECOND * SPOT_RISK_PER_SECOND : 0;
    }
}
