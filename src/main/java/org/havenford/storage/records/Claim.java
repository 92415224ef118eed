package org.havenford.storage.records;

import java.time.Instant;
import org.havenford.protocol.TaskId;

/**
 * The right of one incarnation of a machine to run one attempt of a task, valid until it is released.
 *
 * @param attempt number of the attempt, which increases with each claim of the task
 * @param claimedAt when the claim was made, by the time of day of the controller that made it
 * @param quotaHolder the controller whose share of the team's quota is charged; empty if the team has no limit
 */
public record Claim(
        TaskId task, long attempt, String machine, long incarnation, Instant claimedAt, String quotaHolder) {
    /** Hashes only the task and the attempt: they distinguish claims, and claims are looked up often. */
    @Override
    public int hashCode() {
        return 31 * task.hashCode() + Long.hashCode(attempt);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Claim claim
                && attempt == claim.attempt
                && incarnation == claim.incarnation
                && task.equals(claim.task)
                && machine.equals(claim.machine)
                && claimedAt.equals(claim.claimedAt)
                && quotaHolder.equals(claim.quotaHolder);
    }
}
