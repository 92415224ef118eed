package org.havenford.coordination.scheduling;

import java.util.Comparator;

/**
 * A machine on which the next task of a job may be placed.
 *
 * @param score cost of placing the task there, in seconds of image pull time; lower is better
 * @param capacity the machine's free capacity
 */
record PlacementCandidate(double score, FreeCapacity capacity) {
    static final Comparator<PlacementCandidate> BEST_FIRST = Comparator.comparingDouble(PlacementCandidate::score)
            .thenComparing(candidate -> candidate.capacity().machine.name());
}
