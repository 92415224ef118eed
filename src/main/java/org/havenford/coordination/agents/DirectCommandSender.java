package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.havenford.protocol.Command;
import org.havenford.protocol.Heartbeat;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends commands to agents without waiting for their next heartbeats, and processes the heartbeats in the replies. */
final class DirectCommandSender {
    private static final Logger LOG = LoggerFactory.getLogger(DirectCommandSender.class);
    private static final int STATUS_EXECUTED = 200;
    /** Status with which an agent that has seen a higher fencing token or has another incarnation rejects the commands. */
    private static final int STATUS_REJECTED = 409;

    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    /** Minimum delay between two direct calls to the same agent. */
    private static final Duration DELAY_AFTER_REPLY = Duration.ofMillis(20);

    private static final Duration DELAY_AFTER_REJECTION = Duration.ofMillis(500);
    /** Delay after a failed call; there is no hurry, because the response to the next heartbeat has the same commands. */
    private static final Duration DELAY_AFTER_FAILURE = Duration.ofSeconds(3);
    /** Heartbeat intervals without a heartbeat after which an agent counts as unreachable and is not called. */
    private static final int MAX_SILENT_INTERVALS = 3;

    private final AgentContext context;
    private final HttpCalls calls;
    private final AgentRegistry registry;
    private final CommandPlanner planner;
    private final HeartbeatIntake intake;
    private final AgentListener listener;
    private final Duration maxSilence;

    DirectCommandSender(
            AgentContext context,
            HttpCalls calls,
            AgentRegistry registry,
            CommandPlanner planner,
            HeartbeatIntake intake,
            AgentListener listener) {
        this.context = context;
        this.calls = calls;
        this.registry = registry;
        this.planner = planner;
        this.intake = intake;
        this.listener = listener;
        this.maxSilence = context.settings().heartbeatInterval().multipliedBy(MAX_SILENT_INTERVALS);
    }

    /** Sends an agent the commands that it needs, unless a call is in flight or delayed, or the agent is unreachable. */
    void sendCommands(AgentState agent) {
        if (!mayCall(agent, context.loop().now())) {
            return;
        }
        List<Command> commands = planner.forDirectCall(agent);
        if (!commands.isEmpty()) {
            Heartbeat heartbeat = agent.heartbeat();
            call(
                    agent,
                    heartbeat.endpoint(),
                    Command.directCallBody(agent.fencingToken(), heartbeat.incarnation(), commands));
        }
    }

    private boolean mayCall(AgentState agent, Instant now) {
        return agent.mayBeCalled(now) && context.membership().mayAnswerAgents() && agent.wasSeenWithin(maxSilence, now);
    }

    /** Sends this owner's fencing token to an agent that was taken over; the reply contains the agent's heartbeat. */
    void announceOwner(AgentState agent, AgentContact contact) {
        if (!agent.isCallInFlight()) {
            call(
                    agent,
                    contact.endpoint(),
                    Command.directCallBody(agent.fencingToken(), contact.incarnation(), List.of()));
        }
    }

    private void call(AgentState agent, String endpoint, String body) {
        agent.callStarted();
        calls.call(endpoint, "POST", "/do", body, TIMEOUT, reply -> {
            agent.callEnded();
            handleReply(agent, reply);
        });
    }

    /** Processes a reply, unless the machine was reassigned since the call, also if it was assigned back afterwards. */
    private void handleReply(AgentState agent, HttpCalls.Reply reply) {
        if (registry.get(agent.machine()) != agent) {
            return;
        }
        Heartbeat heartbeat = readHeartbeat(agent, reply);
        if (heartbeat != null
                && heartbeat.machine().equals(agent.machine())
                && heartbeat.isNewerThan(agent.heartbeat())) {
            intake.apply(agent, heartbeat, HeartbeatOrigin.COMMAND_REPLY);
        }
        listener.roundDue();
    }

    /** Sets the delay until the next direct call, and returns the heartbeat in the reply, or null if there is none. */
    private Heartbeat readHeartbeat(AgentState agent, HttpCalls.Reply reply) {
        boolean rejected = reply.status() == STATUS_REJECTED;
        if (reply.status() != STATUS_EXECUTED && !rejected) {
            agent.delayCalls(context.loop().now().plus(DELAY_AFTER_FAILURE));
            return null;
        }
        agent.delayCalls(context.loop().now().plus(rejected ? DELAY_AFTER_REJECTION : DELAY_AFTER_REPLY));
        try {
            Heartbeat heartbeat = Heartbeat.parse(Json.object(reply.body()));
            agent.countCallReply();
            return heartbeat;
        } catch (MalformedMessageException e) {
            LOG.warn("reply to direct commands is malformed: machine={} error={}", agent.machine(), e.getMessage());
            return null;
        }
    }
}
