package org.havenford.coordination.agents;

import java.util.List;
import org.havenford.protocol.Command;
import org.havenford.protocol.Heartbeat;
import org.havenford.storage.records.MachineRecord.Condition;

/** Takes heartbeats from the agents and answers them, or redirects agents to the owners of their machines. */
final class HeartbeatHandler {
    private final AgentContext context;
    private final AgentRegistry registry;
    private final RedirectedAgents redirectedAgents;
    private final HeartbeatIntake intake;
    private final CommandPlanner commandPlanner;
    private final AgentListener listener;

    HeartbeatHandler(
            AgentContext context,
            AgentRegistry registry,
            RedirectedAgents redirectedAgents,
            HeartbeatIntake intake,
            CommandPlanner commandPlanner,
            AgentListener listener) {
        this.context = context;
        this.registry = registry;
        this.redirectedAgents = redirectedAgents;
        this.intake = intake;
        this.commandPlanner = commandPlanner;
        this.listener = listener;
    }

    /** Answers a heartbeat that an agent sent by itself. */
    HeartbeatResponse handle(Heartbeat heartbeat) {
        if (!context.membership().mayAnswerAgents() || !context.replica().loaded()) {
            return HeartbeatResponse.NOT_READY;
        }
        String machine = heartbeat.machine();
        if (!context.owns(machine)) {
            redirectedAgents.reported(machine, context.loop().now());
            return HeartbeatResponse.redirect(context.membership().owner(machine));
        }
        redirectedAgents.arrived(machine);
        AgentState agent = registry.getOrTakeOver(machine);
        if (isLateCopy(agent, heartbeat)) {
            return HeartbeatResponse.LATE_COPY;
        }
        return accept(agent, heartbeat);
    }

    private HeartbeatResponse accept(AgentState agent, Heartbeat heartbeat) {
        agent.checkinIncarnation = heartbeat.incarnation();
        agent.checkinSequence = heartbeat.sequence();
        agent.lastHeartbeatAt = context.loop().now();
        List<Command> commands = List.of();
        // A heartbeat that says nothing new needs no round: of a thousand machines some hundred say so each second.
        boolean news = false;
        if (heartbeat.newerThan(agent.heartbeat)) {
            news = isNews(agent, heartbeat);
            countUnanswered(agent, heartbeat);
            intake.accept(agent, heartbeat, HeartbeatOrigin.AGENT);
            commands = commandPlanner.forHeartbeatResponse(agent);
            news |= !commands.isEmpty();
        }
        agent.renewLease(context.loop().now());
        if (news) {
            listener.roundDue();
        }
        return HeartbeatResponse.accepted(agent.fencingToken(), commands);
    }

    /**
     * A copy that comes late. Its agent waits for no response; counted as a renewal, it would put off the moment at which a
     * machine that is gone gives its tasks back. A reply to direct commands may well have overtaken a heartbeat that is still
     * waited for: so only heartbeats are compared.
     */
    private static boolean isLateCopy(AgentState agent, Heartbeat heartbeat) {
        return heartbeat.incarnation() < agent.checkinIncarnation
                || (heartbeat.incarnation() == agent.checkinIncarnation
                        && heartbeat.sequence() <= agent.checkinSequence);
    }

    private static boolean isNews(AgentState agent, Heartbeat heartbeat) {
        return agent.heartbeat == null
                || agent.condition != Condition.UP
                || heartbeat.incarnation() != agent.heartbeat.incarnation()
                || !heartbeat.tasks().equals(agent.heartbeat.tasks());
    }

    /**
     * An agent that gets our response stays here. One that reports elsewhere before each heartbeat here, or whose lease runs
     * out although we respond, does not get it: its machine takes no new work until it does.
     */
    private static void countUnanswered(AgentState agent, Heartbeat heartbeat) {
        Heartbeat before = agent.heartbeat;
        if (before != null) {
            boolean reportedElsewhere = heartbeat.incarnation() > before.incarnation()
                    || heartbeat.sequence() > before.sequence() + 1 + agent.directAnswers;
            // An agent that got no response while this process was paused has asked others meanwhile.
            boolean counts = reportedElsewhere && !agent.silentSincePause;
            agent.unanswered = counts ? agent.unanswered + 1 : 0;
        }
        agent.directAnswers = 0;
    }
}
