package org.havenford.controller;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import org.havenford.coordination.agents.AgentManager;
import org.havenford.coordination.agents.HeartbeatResponse;
import org.havenford.coordination.monitoring.LinkMonitor;
import org.havenford.protocol.Heartbeat;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpServer.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Parses the heartbeats of agents and passes them to the agent manager. */
final class HeartbeatEndpoint {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatEndpoint.class);
    private static final Duration WARNING_INTERVAL = Duration.ofSeconds(10);
    private static final Response MALFORMED_HEARTBEAT = Response.of(400, "{\"error\":\"not a report\"}");

    private final EventLoop loop;
    private final LinkMonitor linkMonitor;
    private final AgentManager agentManager;
    /** When a warning was last logged; the initial value lets the first warning through. */
    private Instant lastWarning = Instant.MIN;

    HeartbeatEndpoint(EventLoop loop, LinkMonitor linkMonitor, AgentManager agentManager) {
        this.loop = loop;
        this.linkMonitor = linkMonitor;
        this.agentManager = agentManager;
    }

    /** Handles {@code POST /checkin}; {@code body} is null if it was too large. */
    Response handle(byte[] body) {
        linkMonitor.recordHeartbeat();
        try {
            if (body == null) {
                throw new MalformedMessageException("too large");
            }
            Heartbeat heartbeat = Heartbeat.parse(Json.object(new String(body, StandardCharsets.UTF_8)));
            HeartbeatResponse response = agentManager.handleHeartbeat(heartbeat);
            return Response.of(response.status(), response.body());
        } catch (MalformedMessageException e) {
            logMalformedHeartbeat(e);
            return MALFORMED_HEARTBEAT;
        }
    }

    private void logMalformedHeartbeat(MalformedMessageException cause) {
        if (loop.now().isAfter(lastWarning.plus(WARNING_INTERVAL))) {
            lastWarning = loop.now();
            LOG.warn("heartbeat cannot be parsed: cause=\"{}\"", cause.getMessage());
        }
    }
}
