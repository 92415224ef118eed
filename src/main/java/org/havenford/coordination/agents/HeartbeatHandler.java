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
            redirectedAgents.recordHeartbeat(machine, context.loop().now());
            return HeartbeatResponse.redirect(context.membership().owner(machine));
        }
        redirectedAgents.stopTracking(machine);
        AgentState agent = registry.getOrTakeOver(machine);
        if (agent.isOutdated(heartbeat)) {
            return HeartbeatResponse.OUTDATED;
        }
        return accept(agent, heartbeat);
    }

    private HeartbeatResponse accept(AgentState agent, Heartbeat heartbeat) {
        agent.recordUnsolicitedHeartbeat(heartbeat, context.loop().now());
        List<Command> commands = List.of();
        // A heartbeat without changes triggers no scheduling round; a thousand machines send hundreds of them per
        // second.
        boolean changed = false;
        if (heartbeat.isNewerThan(agent.heartbeat())) {
            changed = hasChanges(agent, heartbeat);
            agent.countMissedResponses(heartbeat);
            intake.apply(agent, heartbeat, HeartbeatOrigin.UNSOLICITED);
            commands = commandPlanner.forHeartbeatResponse(agent);
            changed |= !commands.isEmpty();
        }
        agent.renewLease(context.loop().now());
        if (changed) {
            listener.roundDue();
        }
        return HeartbeatResponse.accepted(agent.fencingToken(), commands);
    }

    private static boolean hasChanges(AgentState agent, Heartbeat heartbeat) {
        Heartbeat previous = agent.heartbeat();
        return previous == null
                || agent.condition() != Condition.UP
                || heartbeat.incarnation() != previous.incarnation()
                || !heartbeat.tasks().equals(previous.tasks());
    }
}
