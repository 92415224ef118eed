package org.havenford.coordination.agents;

/** How an attempt ended. Seconds are negative where they were not seen. */
public record Ending(boolean done, boolean late, boolean failed, double fetchSeconds, double runSeconds) {
    /** Not done, to be tried again. */
    static final Ending RETRY = new Ending(false, false, false, -1, -1);
    /** Stopped because its fetch was late. */
    static final Ending LATE = new Ending(false, true, false, -1, -1);
    /** The task itself failed, or the worker would not take it. */
    static final Ending FAILED = new Ending(false, false, true, -1, -1);

    static Ending done(double fetchSeconds, double runSeconds) {
        return new Ending(true, false, false, fetchSeconds, runSeconds);
    }
}
