package org.havenford.coordination.agents;

import java.util.List;
import org.havenford.protocol.Command;

/**
 * The HTTP response to a heartbeat.
 *
 * @param status the HTTP status
 * @param body the body as JSON
 */
public record HeartbeatResponse(int status, String body) {
    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;

    /** Sent while this controller may not answer agents or has not read the store yet. */
    static final HeartbeatResponse NOT_READY = new HeartbeatResponse(UNAVAILABLE, "{\"error\":\"not entitled\"}");

    /** Sent if the same or a later heartbeat of the agent has been received already. */
    static final HeartbeatResponse OUTDATED =
            new HeartbeatResponse(UNAVAILABLE, "{\"error\":\"a later report has been here\"}");

    /** Returns the response to an accepted heartbeat, which renews the agent's lease and carries its commands. */
    static HeartbeatResponse accepted(long fencingToken, List<Command> commands) {
        return new HeartbeatResponse(OK, Command.heartbeatResponseBody(fencingToken, commands));
    }

    /** Returns the response that redirects an agent to the controller that owns its machine. */
    static HeartbeatResponse redirect(String owner) {
        return new HeartbeatResponse(MISDIRECTED, "{\"director\":\"" + owner + "\"}");
    }
}
