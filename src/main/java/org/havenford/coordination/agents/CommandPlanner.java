package org.havenford.coordination.agents;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.havenford.coordination.agents.AttemptState.StopReason;
import org.havenford.protocol.Command;
import org.havenford.protocol.Heartbeat;
import org.havenford.protocol.TaskId;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;

/** Determines the commands that an agent needs from the claims on its machine and its newest heartbeat. */
final class CommandPlanner {
    /** Limit of commands in the response to a heartbeat; a line of the response must not exceed 64 KiB. */
    private static final int MAX_COMMANDS_IN_RESPONSE = 200;

    private static final int MAX_COMMANDS_IN_DIRECT_CALL = 40;

    private final AgentContext context;
    private final ClusterState clusterState;
    private final AttemptOutcomes outcomes;
    private final DecisionLog decisionLog;

    CommandPlanner(AgentContext context, AttemptOutcomes outcomes, DecisionLog decisionLog) {
        this.context = context;
        this.clusterState = context.clusterState();
        this.outcomes = outcomes;
        this.decisionLog = decisionLog;
    }

    /** Returns the commands to send in the response to a heartbeat, and records the run commands among them. */
    List<Command> forHeartbeatResponse(AgentState agent) {
        List<Command> commands = planCommands(agent, MAX_COMMANDS_IN_RESPONSE);
        recordRuns(agent, commands);
        commands.forEach(command -> decisionLog.commandSent(agent, command, CommandChannel.RESPONSE));
        return commands;
    }

    /**
     * Returns the commands to send in a direct call, and records the run commands among them. Forget commands are left to
     * the response to the next heartbeat.
     */
    List<Command> forDirectCall(AgentState agent) {
        List<Command> commands = planCommands(agent, MAX_COMMANDS_IN_DIRECT_CALL);
        commands.removeIf(command -> command.op() == Command.Op.FORGET);
        recordRuns(agent, commands);
        recordDirectRuns(agent, commands);
        commands.forEach(command -> decisionLog.commandSent(agent, command, CommandChannel.DIRECT_CALL));
        return commands;
    }

    private List<Command> planCommands(AgentState agent, int maxCommands) {
        List<Command> commands = new ArrayList<>();
        Heartbeat heartbeat = agent.heartbeat();
        if (heartbeat == null || clusterState.machine(agent.machine()) == null) {
            return commands;
        }
        Map<TaskId, Claim> claims = clusterState.claimsOn(agent.machine());
        for (Heartbeat.AttemptStatus status : heartbeat.tasks()) {
            Command command = commandFor(agent, status, claims.get(status.task()));
            if (command != null) {
                commands.add(command);
            }
            if (commands.size() >= maxCommands) {
                return commands;
            }
        }
        // Jobs that another controller has cancelled but that a stale replica still shows as active must not start, so
        // run commands are held back until the replica has caught up. Covered by gap.trace.
        if (context.membership().mayStartTasks()) {
            addRunCommands(agent, claims.values(), maxCommands, commands);
        }
        return commands;
    }

    /** Returns the command for an attempt that the agent reports, or null if it needs none. */
    private Command commandFor(AgentState agent, Heartbeat.AttemptStatus status, Claim claim) {
        boolean claimHeld = claim != null
                && claim.attempt() == status.attempt()
                && claim.incarnation() == agent.heartbeat().incarnation();
        if (status.state() == Heartbeat.State.EXITED) {
            return claimHeld ? null : planForget(agent, status);
        }
        if (!claimHeld) {
            return new Command(Command.Op.STOP, status.task(), status.attempt(), Duration.ZERO);
        }
        return planStop(agent, status, claim);
    }

    /**
     * Returns a forget command and raises the fencing token above that of all direct run commands. Otherwise a delayed run
     * command could restart the attempt on an agent that has forgotten it.
     */
    private static Command planForget(AgentState agent, Heartbeat.AttemptStatus status) {
        agent.raiseFencingTokenAfterDirectRun();
        return new Command(Command.Op.FORGET, status.task(), status.attempt(), Duration.ZERO);
    }

    private Command planStop(AgentState agent, Heartbeat.AttemptStatus status, Claim claim) {
        AttemptState attempt = agent.getOrCreateAttempt(claim.task(), claim.attempt());
        if (clusterState.isCancelled(claim)) {
            attempt.markToStop(StopReason.CANCELLED);
        }
        boolean cancelled = attempt.isToStop(StopReason.CANCELLED);
        if (!attempt.isToStop() || (status.state() == Heartbeat.State.CHECKPOINTING && !cancelled)) {
            return null;
        }
        Job job = clusterState.job(claim.task().job());
        Duration gracePeriod =
                job == null || cancelled ? Duration.ZERO : job.spec().checkpointDuration();
        return new Command(Command.Op.STOP, status.task(), status.attempt(), gracePeriod);
    }

    private void addRunCommands(AgentState agent, Iterable<Claim> claims, int maxCommands, List<Command> commands) {
        for (Claim claim : claims) {
            if (commands.size() < maxCommands && needsRunCommand(agent, claim)) {
                commands.add(new Command(Command.Op.RUN, claim.task(), claim.attempt(), Duration.ZERO));
            }
        }
    }

    private boolean needsRunCommand(AgentState agent, Claim claim) {
        AttemptState attempt = agent.getOrCreateAttempt(claim.task(), claim.attempt());
        return claim.incarnation() == agent.heartbeat().incarnation()
                && !attempt.isReported()
                && !attempt.isToStop()
                && !clusterState.isCancelled(claim)
                && !outcomes.contains(claim)
                && agent.heartbeat().find(claim.task(), claim.attempt()) == null;
    }

    private void recordRuns(AgentState agent, List<Command> commands) {
        for (Command command : commands) {
            if (command.op() == Command.Op.RUN) {
                agent.getOrCreateAttempt(command.task(), command.attempt()).recordRun(context.loop());
            }
        }
    }

    private static void recordDirectRuns(AgentState agent, List<Command> commands) {
        for (Command command : commands) {
            if (command.op() == Command.Op.RUN) {
                agent.recordDirectRun(agent.getOrCreateAttempt(command.task(), command.attempt()));
            }
        }
    }
}
