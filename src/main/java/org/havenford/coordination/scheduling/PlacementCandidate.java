package org.havenford.coordination.scheduling;

import java.util.Comparator;

/**
 * A machine that takes tasks of the job at hand.
 *
 * @param score cost of the next task there, in seconds of pulling an image; lower is better
 * @param capacity what is free on the machine
 */
record PlacementCandidate(double score, FreeCapacity capacity) {
    static final Comparator<PlacementCandidate> BEST_FIRST = Comparator.comparingDouble(PlacementCandidate::score)
            .thenComparing(candidate -> candidate.capacity().machine.name());
}
