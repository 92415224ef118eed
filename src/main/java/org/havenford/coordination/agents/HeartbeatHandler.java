package org.havenford.coordination.agents;

import java.util.List;
import org.havenford.protocol.Command;
import org.havenford.protocol.Heartbeat;
import org.havenford.storage.records.MachineRecord.Condition;

/** Processes unsolicited heartbeats: responds to those from owned machines and redirects the others to their owners. */
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

    /** Processes an unsolicited heartbeat and returns the response to it. */
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
        if (agent.isLateCopy(heartbeat)) {
            return HeartbeatResponse.LATE_COPY;
        }
        return accept(agent, heartbeat);
    }

    private HeartbeatResponse accept(AgentState agent, Heartbeat heartbeat) {
        agent.heartbeatArrived(heartbeat, context.loop().now());
        List<Command> commands = List.of();
        // A heartbeat without changes triggers no scheduling round; a thousand machines send hundreds of them per second.
        boolean news = false;
        if (heartbeat.newerThan(agent.heartbeat())) {
            news = isNews(agent, heartbeat);
            agent.countUnanswered(heartbeat);
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

    private static boolean isNews(AgentState agent, Heartbeat heartbeat) {
        Heartbeat before = agent.heartbeat();
        return before == null
                || agent.condition() != Condition.UP
                || heartbeat.incarnation() != before.incarnation()
                || !heartbeat.tasks().equals(before.tasks());
    }
}
