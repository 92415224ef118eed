package org.havenford.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.havenford.storage.records.Claim;

/**
 * The result of one planning round: what to claim, and which claims to preempt so that more urgent work can start. Both
 * lists grow while the round is planned.
 */
record Plan(List<Placement> placements, List<Claim> preempted) {
    static Plan empty() {
        return new Plan(new ArrayList<>(), new ArrayList<>());
    }
}
