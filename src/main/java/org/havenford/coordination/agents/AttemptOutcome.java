package org.havenford.coordination.agents;

import java.time.Duration;

/** The outcome of an ended attempt. */
public sealed interface AttemptOutcome {
    /**
     * The attempt completed its task.
     *
     * @param pullDuration how long the image pull took, or null if it was not observed
     * @param runDuration how long the task ran, or null if it was not observed
     */
    record Done(Duration pullDuration, Duration runDuration) implements AttemptOutcome {}

    /** The attempt did not complete its task. */
    enum NotDone implements AttemptOutcome {
        /** The task is to be retried, with no failure counted against it. */
        RETRY,
        /** The attempt was stopped as a straggler, because its image pull was slow. */
        STRAGGLER,
        /** The task itself failed, or the agent refused it permanently. */
        FAILED
    }
}
