package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.havenford.coordination.agents.AgentState.Attempt;
import org.havenford.coordination.agents.AgentState.StopReason;
import org.havenford.coordination.membership.Membership;
import org.havenford.protocol.Command;
import org.havenford.protocol.Heartbeat;
import org.havenford.protocol.Json;
import org.havenford.protocol.TaskId;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Works out the commands that a worker needs, from the claims on its machine and its newest report. They go out in the
 * answer to a report, or directly where that would take too long.
 */
final class AgentCommands {
    private static final Logger LOG = LoggerFactory.getLogger(AgentCommands.class);
    /** Commands in the answer to a report: a line of it must not be longer than 64 KiB. */
    private static final int MOST_IN_ANSWER = 200;

    private static final int MOST_DIRECT = 40;
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    /** Between two direct commands to one worker. */
    private static final Duration AFTER_ANSWER = Duration.ofMillis(20);

    private static final Duration AFTER_REFUSAL = Duration.ofMillis(500);
    /** The worker's next report brings the same commands; here nothing is gained by hurry. */
    private static final Duration AFTER_FAILURE = Duration.ofSeconds(3);

    private final EventLoop loop;
    private final HttpCalls calls;
    private final ClusterState clusterState;
    private final Membership membership;
    private final AttemptOutcomes outcomes;
    private final Duration reachable;
    private final BiConsumer<AgentState, HttpCalls.Reply> answered;

    /** {@code answered} is told the reply to each direct command. */
    AgentCommands(
            EventLoop loop,
            HttpCalls calls,
            PlatformSettings settings,
            ClusterState clusterState,
            Membership membership,
            AttemptOutcomes outcomes,
            BiConsumer<AgentState, HttpCalls.Reply> answered) {
        this.loop = loop;
        this.calls = calls;
        this.clusterState = clusterState;
        this.membership = membership;
        this.outcomes = outcomes;
        this.answered = answered;
        this.reachable = settings.heartbeatInterval().multipliedBy(3);
    }

    /** Commands that go out with the answer to a report. */
    List<Command> forAnswer(AgentState machine) {
        List<Command> commands = commands(machine, MOST_IN_ANSWER);
        noteRuns(machine, commands, false);
        return commands;
    }

    /** Sends what differs to the worker itself, without waiting for its next report. */
    void push(AgentState machine) {
        Instant now = loop.now();
        if (machine.directInFlight
                || now.isBefore(machine.directNotBefore)
                || machine.heartbeat == null
                || !membership.mayAnswerAgents()
                || Duration.between(machine.lastSignAt, now).compareTo(reachable) > 0) {
            return;
        }
        List<Command> commands = commands(machine, MOST_DIRECT);
        commands.removeIf(command -> command.op() == Command.Op.FORGET);
        if (commands.isEmpty()) {
            return;
        }
        noteRuns(machine, commands, true);
        send(
                machine,
                machine.heartbeat.endpoint(),
                Command.direct(machine.fencingToken(), machine.heartbeat.incarnation(), commands));
    }

    /** Shows this owner's token to a worker that was taken over; the reply brings its report. */
    void contact(AgentState machine, AgentContact contact) {
        if (!machine.directInFlight) {
            send(machine, contact.endpoint(), Command.direct(machine.fencingToken(), contact.incarnation(), List.of()));
        }
    }

    private void send(AgentState machine, String endpoint, String body) {
        machine.directInFlight = true;
        calls.call(endpoint, "POST", "/do", body, TIMEOUT, reply -> {
            machine.directInFlight = false;
            answered.accept(machine, reply);
        });
    }

    /** Reads the report in the reply to a direct command, or null, and says when the next command may go out. */
    Heartbeat reportIn(AgentState machine, HttpCalls.Reply reply) {
        boolean executed = reply.status() == 200;
        boolean refused = reply.status() == 409;
        if (!executed && !refused) {
            machine.directNotBefore = loop.now().plus(AFTER_FAILURE);
            return null;
        }
        machine.directNotBefore = loop.now().plus(refused ? AFTER_REFUSAL : AFTER_ANSWER);
        try {
            Heartbeat heartbeat = Heartbeat.parse(Json.object(reply.body()));
            machine.directAnswers++;
            return heartbeat;
        } catch (Json.BadMessage e) {
            LOG.warn("{}: an answer to /do can't be read: {}", machine.name, e.getMessage());
            return null;
        }
    }

    private List<Command> commands(AgentState machine, int most) {
        List<Command> commands = new ArrayList<>();
        Heartbeat heartbeat = machine.heartbeat;
        if (heartbeat == null || clusterState.machine(machine.name) == null) {
            return commands;
        }
        Map<TaskId, Claim> claims = clusterState.claimsOn(machine.name);
        for (Heartbeat.AttemptStatus entry : heartbeat.tasks()) {
            Command command = forReported(machine, entry, claims.get(entry.task()));
            if (command != null) {
                commands.add(command);
            }
            if (commands.size() >= most) {
                return commands;
            }
        }
        // What others cancelled in our blind seconds must not start: runs wait until our copy has caught up. gap.trace
        if (membership.mayStartTasks()) {
            addRuns(machine, claims.values(), most, commands);
        }
        return commands;
    }

    /** What to do with a task that the worker reports; null for nothing. */
    private Command forReported(AgentState machine, Heartbeat.AttemptStatus entry, Claim claim) {
        boolean held = claim != null
                && claim.attempt() == entry.attempt()
                && claim.incarnation() == machine.heartbeat.incarnation();
        if (entry.state() == Heartbeat.State.EXITED) {
            return held ? null : forget(machine, entry);
        }
        if (!held) {
            return new Command(Command.Op.STOP, entry.task(), entry.attempt(), Duration.ZERO);
        }
        return stop(machine, entry, claim);
    }

    /**
     * Whoever forgets can be made to start again by a run that is still under way: the token that comes with a forget is
     * higher than that of any run sent by /do.
     */
    private static Command forget(AgentState machine, Heartbeat.AttemptStatus entry) {
        if (machine.startedByDirectCommand) {
            machine.fence++;
            machine.startedByDirectCommand = false;
        }
        return new Command(Command.Op.FORGET, entry.task(), entry.attempt(), Duration.ZERO);
    }

    private Command stop(AgentState machine, Heartbeat.AttemptStatus entry, Claim claim) {
        Attempt attempt = machine.attempt(claim.task(), claim.attempt());
        if (clusterState.isCancelled(claim)) {
            attempt.stopReason = StopReason.CANCELLED;
        }
        boolean cancelled = attempt.stopReason == StopReason.CANCELLED;
        if (attempt.stopReason == null || (entry.state() == Heartbeat.State.SAVING && !cancelled)) {
            return null;
        }
        Job job = clusterState.job(claim.task().job());
        Duration save = job == null || cancelled ? Duration.ZERO : job.spec().checkpointDuration();
        return new Command(Command.Op.STOP, entry.task(), entry.attempt(), save);
    }

    private void addRuns(AgentState machine, Iterable<Claim> claims, int most, List<Command> commands) {
        for (Claim claim : claims) {
            if (commands.size() < most && isToStart(machine, claim)) {
                commands.add(new Command(Command.Op.RUN, claim.task(), claim.attempt(), Duration.ZERO));
            }
        }
    }

    private boolean isToStart(AgentState machine, Claim claim) {
        Attempt attempt = machine.attempt(claim.task(), claim.attempt());
        return claim.incarnation() == machine.heartbeat.incarnation()
                && !attempt.seen
                && attempt.stopReason == null
                && !clusterState.isCancelled(claim)
                && !outcomes.contains(claim)
                && machine.heartbeat.find(claim.task(), claim.attempt()) == null;
    }

    private void noteRuns(AgentState machine, List<Command> commands, boolean direct) {
        for (Command command : commands) {
            if (command.op() == Command.Op.RUN) {
                Attempt attempt = machine.attempt(command.task(), command.attempt());
                if (attempt.pullStartedAt == null) {
                    attempt.pullStartedAt = loop.now();
                    attempt.sawPullStart = true;
                }
                if (direct) {
                    attempt.directToken = machine.fencingToken();
                    machine.startedByDirectCommand = true;
                }
            }
        }
    }
}
