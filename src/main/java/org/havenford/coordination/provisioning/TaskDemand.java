package org.havenford.coordination.provisioning;

import org.havenford.protocol.JobSpec;

/** Tasks of one job that should be able to run at the same time; {@code tasks} need not be a whole number. */
public record TaskDemand(JobSpec spec, double tasks, Startability startability) {
    /** Whether the present fleet seems able to run a task of the job. */
    public enum Startability {
        /** The job has running tasks, or has not waited for long. */
        STARTABLE,
        /** The present fleet does not take the job: it needs a whole machine to begin with. */
        UNPLACEABLE,
        /** As {@link #UNPLACEABLE}, after failures: the job needs another machine than those that there are. */
        UNPLACEABLE_AFTER_FAILURES
    }

    /** Whether the present fleet does not take the job. */
    boolean isUnplaceable() {
        return startability != Startability.STARTABLE;
    }

    /** Whether the job needs a machine that its tasks have not failed on. */
    boolean needsAnotherMachine() {
        return startability == Startability.UNPLACEABLE_AFTER_FAILURES;
    }
}
