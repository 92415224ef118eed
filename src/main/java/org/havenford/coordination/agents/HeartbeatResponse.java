package org.havenford.coordination.agents;

import java.util.List;
import org.havenford.protocol.Command;

/**
 * The response to a heartbeat.
 *
 * @param status the HTTP status
 * @param body the body as JSON
 */
public record HeartbeatResponse(int status, String body) {
    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;

    /** This controller holds no lease, or has not read the store yet. */
    static final HeartbeatResponse NOT_READY = new HeartbeatResponse(UNAVAILABLE, "{\"error\":\"not entitled\"}");

    /** A later heartbeat of the same agent came before. */
    static final HeartbeatResponse LATE_COPY =
            new HeartbeatResponse(UNAVAILABLE, "{\"error\":\"a later report has been here\"}");

    /** The heartbeat was taken; the response renews the agent's lease and brings its commands. */
    static HeartbeatResponse accepted(long fencingToken, List<Command> commands) {
        return new HeartbeatResponse(OK, Command.reply(fencingToken, commands));
    }

    /** Another controller owns the machine. */
    static HeartbeatResponse redirect(String owner) {
        return new HeartbeatResponse(MISDIRECTED, "{\"director\":\"" + owner + "\"}");
    }
}
