package org.havenford.coordination.scheduling;

import java.time.Instant;
import java.util.List;
import org.havenford.protocol.TaskId;
import org.havenford.storage.records.Job;

/** What one planning round is told besides the stored state and the machines' availability. */
interface PlanningSnapshot {
    /** Start of the round on the monotonic clock. */
    Instant steadyNow();

    /** Whether the round's time is used up. Reads the clock. */
    boolean outOfTime();

    /** Controllers that own machines, in the order in which all controllers list them. */
    List<String> owners();

    /** What this controller can claim until its next plan. */
    ClaimQuota claimQuota();

    /**
     * Whether claims of several controllers conflict so often that each task range is left to its first owner where that has
     * capacity.
     */
    boolean isContended();

    /** Whether the tasks of a job have failed so often that its next attempt has to wait. */
    boolean isBackingOff(Job job);

    /** Whether a task should not be tried again on a machine. */
    boolean isAvoided(TaskId task, String machine);

    /** Whether an owner has left a task range unclaimed for so long that it is planned for others. */
    boolean isPassedOver(String taskRangeKey, String owner);

    /**
     * Whether the first owner of a task range has lacked capacity for so long that another owner may claim some of it. Asking
     * records that the first owner lacks capacity now.
     */
    boolean mayBeClaimedByOthers(String taskRangeKey);
}
