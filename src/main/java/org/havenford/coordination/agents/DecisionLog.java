package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;
import org.havenford.protocol.Command;
import org.havenford.storage.records.Claim;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs on what knowledge tasks are started, stopped and released: one line per decision at debug level, and counts of all
 * decisions for the periodic statistics.
 */
final class DecisionLog {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionLog.class);

    private final AgentContext context;
    private final AgentRegistry registry;
    private final Map<Command.Op, Long> commands = new EnumMap<>(Command.Op.class);
    private final Map<EndProof, Long> ends = new EnumMap<>(EndProof.class);
    private long agentRestarts;

    DecisionLog(AgentContext context, AgentRegistry registry) {
        this.context = context;
        this.registry = registry;
    }

    /** Records a command that is being sent; {@code channel} is how it is sent. */
    void commandSent(AgentState agent, Command command, CommandChannel channel) {
        commands.merge(command.op(), 1L, Long::sum);
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "command sent: command={} task={} attempt={} channel={} {}",
                    command.op(),
                    command.task(),
                    command.attempt(),
                    channel,
                    knowledgeOf(agent));
        }
    }

    /** Records that the claim of an attempt may be released. */
    void attemptEnded(Claim claim, AttemptOutcome outcome, EndProof proof) {
        ends.merge(proof, 1L, Long::sum);
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "attempt ended: task={} attempt={} outcome={} proof={} claimIncarnation={} {}",
                    claim.task(),
                    claim.attempt(),
                    outcome,
                    proof,
                    claim.incarnation(),
                    knowledgeOf(registry.get(claim.machine())));
        }
    }

    /** Records that an agent was seen in a later incarnation than before. */
    void agentRestarted(AgentState agent, HeartbeatOrigin origin) {
        agentRestarts++;
        if (LOG.isDebugEnabled()) {
            LOG.debug("agent restarted: seenIn={} {}", origin, knowledgeOf(agent));
        }
    }

    /** Describes, as {@code key=value} pairs, what this controller knows of an agent and how recent its knowledge is. */
    String knowledgeOf(AgentState agent) {
        Instant now = context.loop().now();
        return "machine=" + agent.machine()
                + " epoch=" + context.membership().view().epoch()
                + " fencingToken=" + agent.fencingToken()
                + " incarnation=" + (agent.hasReported() ? agent.incarnation() : "unknown")
                + " leaseOrigin=" + agent.leaseOrigin()
                + " leaseAgeMs="
                + Duration.between(agent.leaseCountedFrom(), now).toMillis()
                + " replicaRevision=" + context.membership().replicaRevision()
                + " replicaAgeMs=" + context.membership().replicaAgeMillis();
    }

    /** Returns the counts since the last call as {@code key=value} pairs, and resets them. */
    String takeSummary() {
        String summary = "commands=" + commands + " ends=" + ends + " agentRestarts=" + agentRestarts;
        commands.clear();
        ends.clear();
        agentRestarts = 0;
        return summary;
    }
}
