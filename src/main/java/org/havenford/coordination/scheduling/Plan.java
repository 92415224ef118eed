package org.havenford.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.havenford.storage.records.Claim;

/**
 * The result of one planning round. Both lists are mutable and filled during the round.
 *
 * @param placements tasks to claim, with their machines
 * @param preempted claims to preempt so that more urgent tasks can start
 */
record Plan(List<Placement> placements, List<Claim> preempted) {
    static Plan empty() {
        return new Plan(new ArrayList<>(), new ArrayList<>());
    }
}
