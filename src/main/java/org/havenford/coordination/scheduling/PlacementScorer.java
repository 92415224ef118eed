package org.havenford.coordination.scheduling;

import java.util.Set;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.storage.records.MachineRecord;

/**
 * Scores a machine for the next task of a job, in seconds of pulling an image; lower is better. Bin packing: among machines
 * that start the task equally soon, the fullest one wins.
 */
final class PlacementScorer {
    /** Penalty, in seconds, of a machine larger than needed: it is left to tasks that need one. */
    private static final double LARGER_THAN_NEEDED_SECONDS = 2;
    /** The same while such tasks are waiting. */
    private static final double LARGE_AND_CONTENDED_SECONDS = 3;
    /** Penalty, in seconds, of an on-demand machine, which costs more: it is left to run empty and be returned. */
    private static final double ON_DEMAND_SECONDS = 0.3;
    /** Penalty, in seconds for each second of running, of a spot machine, which may be interrupted. */
    private static final double SPOT_RISK_PER_SECOND = 0.05;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final boolean speedFirst;

    /** With {@code speedFirst} an early end counts for more than the price of machines. */
    PlacementScorer(boolean speedFirst) {
        this.speedFirst = speedFirst;
    }

    /**
     * The score of a machine.
     *
     * @param smallestCpus CPUs of the smallest machine type that fits a task of the job
     * @param contendedTypes names of machine types that waiting tasks can't do without
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
     * Where money decides, on-demand machines are left to run empty. Where speed does, long tasks without checkpoints keep
     * away from spot machines: a run that is lost near its end has to be done again in full.
     */
    private double pricingPenalty(JobSpec spec, MachineRecord machine) {
        if (!speedFirst) {
            return machine.spot() ? 0 : ON_DEMAND_SECONDS;
        }
        boolean losesWork = machine.spot() && spec.checkpointInterval().isZero();
        return losesWork ? spec.estimatedDuration().toMillis() / MILLIS_PER_SECOND * SPOT_RISK_PER_SECOND : 0;
    }
}
