package org.havenford.coordination.agents;

/** Why an attempt has exited, by the cause that its agent reports. */
enum ExitCause {
    /** The task is done. */
    DONE,
    /** It was stopped by a command. */
    STOPPED,
    /** The task itself failed. */
    ERROR,
    /** The agent has not taken it, for now: other tasks hold the resources. */
    REFUSED_FOR_NOW,
    /** The agent will not take it, or gives a cause that is not known here. */
    REFUSED;

    /** The meaning of a cause as it stands in a heartbeat. */
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
