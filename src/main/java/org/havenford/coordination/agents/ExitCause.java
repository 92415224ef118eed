package org.havenford.coordination.agents;

/** Reason for which an attempt exited, derived from the cause that its agent reports. */
enum ExitCause {
    /** The task completed. */
    DONE,
    /** The attempt was stopped by a command. */
    STOPPED,
    /** The task itself failed. */
    ERROR,
    /** The agent refused the task for now, because other tasks hold the resources. */
    REFUSED_FOR_NOW,
    /** The agent refused the task permanently, or reported an unknown cause. */
    REFUSED;

    /** Maps the cause in a heartbeat to a constant. */
    static ExitCause parse(String cause) {
        return switch (cause) {
            case "done" -> DONE;
            case "stopped" -> STOPPED;
            case "error" -> ERROR;
            case "no_room", "busy" -> REFUSED_FOR_NOW;
            default -> REFUSED;
        };
    }
}
