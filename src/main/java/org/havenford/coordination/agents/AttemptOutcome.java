package org.havenford.coordination.agents;

import java.time.Duration;

/** How an attempt ended. */
public sealed interface AttemptOutcome {
    /**
     * The task is done.
     *
     * @param pullDuration how long the image was pulled, or null if that was not seen
     * @param runDuration how long the task ran, or null if that was not seen
     */
    record Done(Duration pullDuration, Duration runDuration) implements AttemptOutcome {}

    /** The task is not done. */
    enum NotDone implements AttemptOutcome {
        /** It is to be tried again. */
        RETRY,
        /** It was stopped as a straggler, because its image pull was late. */
        STRAGGLER,
        /** The task itself failed, or the agent would not take it. */
        FAILED
    }
}
