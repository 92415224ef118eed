package org.havenford.coordination.provisioning;

import org.havenford.protocol.JobSpec;

/** The number of tasks of one job that should be able to run at the same time, which may be fractional. */
public record TaskDemand(JobSpec spec, double tasks, Startability startability) {
    /** Whether the current fleet appears able to run tasks of the job. */
    public enum Startability {
        /** The job has claims, has nothing to place, or has not waited long. */
        STARTABLE,
        /** No task could be placed on the current fleet for a while: the job needs at least one whole machine. */
        UNPLACEABLE,
        /**
         * Like {@link #UNPLACEABLE}, but tasks of the job have failed: it needs a machine other than the current ones.
         */
        UNPLACEABLE_AFTER_FAILURES
    }

    /** Returns whether the job cannot be placed on the current fleet. */
    boolean isUnplaceable() {
        return startability != Startability.STARTABLE;
    }

    /** Returns whether the job needs a new machine because its tasks have failed on current ones. */
    boolean needsAnotherMachine() {
        return startability == Startability.UNPLACEABLE_AFTER_FAILURES;
    }
}
