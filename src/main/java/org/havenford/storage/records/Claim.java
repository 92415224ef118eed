package org.havenford.storage.records;

import java.time.Instant;
import org.havenford.protocol.TaskId;

/**
 * One attempt of a task, bound to an incarnation of a machine. It holds until it is released.
 *
 * @param quotaHolder the controller whose share of the team's limit it is charged to; empty where the team has no limit
 */
public record Claim(
        TaskId task, long attempt, String machine, long incarnation, Instant claimedAt, String quotaHolder) {
    /** Claims are looked up often; those of different attempts are what is to be told apart. */
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
