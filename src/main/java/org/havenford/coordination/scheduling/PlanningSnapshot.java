package org.havenford.coordination.scheduling;

import java.time.Instant;
import java.util.List;
import org.havenford.protocol.TaskId;
import org.havenford.storage.records.Job;

/** Inputs of one planning round other than the stored state and the availability of machines. */
interface PlanningSnapshot {
    /** Returns the start of the round on the monotonic clock. */
    Instant monotonicNow();

    /** Whether the round's time budget is used up. Reads the clock on each call. */
    boolean outOfTime();

    /** Returns the controllers that own machines, in the same order on all controllers. */
    List<String> owners();

    /** Returns the limit of the task ranges that are planned for this controller. */
    ClaimQuota claimQuota();

    /**
     * Whether claims of several controllers have conflicted recently. Each task range is then left to its preferred
     * owner as long as that has capacity.
     */
    boolean isContended();

    /** Whether the job's next attempt has to wait because of failures. */
    boolean isBackingOff(Job job);

    /** Whether a task must not be placed on a machine, because it failed there before. */
    boolean isAvoided(TaskId task, String machine);

    /** Whether an owner has left a task range unclaimed for so long that the range is planned for other owners. */
    boolean isPassedOver(String taskRangeKey, String owner);

    /**
     * Whether the preferred owner of a task range has lacked capacity for so long that another owner may claim tasks of
     * it. Each call records that the preferred owner lacks capacity now.
     */
    boolean mayBeClaimedByOthers(String taskRangeKey);
}
