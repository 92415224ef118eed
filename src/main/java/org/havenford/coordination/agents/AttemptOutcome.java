package org.havenford.coordination.agents;

/** How an attempt ended. Seconds are negative where they were not seen. */
public record AttemptOutcome(boolean done, boolean straggler, boolean failed, double pullSeconds, double runSeconds) {
    /** Not done, to be tried again. */
    static final AttemptOutcome RETRY = new AttemptOutcome(false, false, false, -1, -1);
    /** Stopped because its fetch was late. */
    static final AttemptOutcome STRAGGLER = new AttemptOutcome(false, true, false, -1, -1);
    /** The task itself failed, or the worker would not take it. */
    static final AttemptOutcome FAILED = new AttemptOutcome(false, false, true, -1, -1);

    static AttemptOutcome done(double fetchSeconds, double runSeconds) {
        return new AttemptOutcome(true, false, false, fetchSeconds, runSeconds);
    }
}
