package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Ends the attempts on machines whose agents' leases have expired, and determines which agents can be removed. */
final class AgentLeaseMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(AgentLeaseMonitor.class);
    /** How long the state of an agent without record and claims is kept after its last heartbeat or lease renewal. */
    private static final Duration RETENTION = Duration.ofMinutes(3);
    /** Factor on the lease duration that covers the drift between the clocks of the agent and this controller. */
    private static final double CLOCK_DRIFT_FACTOR = 1.002;

    /** Safety margin added to the end of a lease. */
    private static final Duration LEASE_MARGIN = Duration.ofMillis(1500);

    private final AgentContext context;
    private final AgentRegistry registry;
    private final AttemptOutcomes outcomes;
    private final DecisionLog decisionLog;

    AgentLeaseMonitor(AgentContext context, AgentRegistry registry, AttemptOutcomes outcomes, DecisionLog decisionLog) {
        this.context = context;
        this.registry = registry;
        this.outcomes = outcomes;
        this.decisionLog = decisionLog;
    }

    /** Ends the attempts on owned machines that are gone or whose agents' leases have expired, allowing for clock drift. */
    void expireLeases(Instant now) {
        int machines = 0;
        int claims = 0;
        String firstAgent = null;
        for (String machine : context.clusterState().claimedMachines()) {
            int ended = context.owns(machine) ? expireLease(machine, now) : 0;
            if (ended > 0) {
                machines++;
                claims += ended;
                firstAgent = firstAgent == null ? decisionLog.knowledgeOf(registry.get(machine)) : firstAgent;
            }
        }
        if (machines > 0) {
            LOG.info(
                    "attempts ended without a heartbeat: machines={} claims={} first=[{}]",
                    machines,
                    claims,
                    firstAgent);
        }
    }

    /** Ends the attempts on a machine if it is gone or its agent's lease has expired, and returns their number. */
    private int expireLease(String machine, Instant now) {
        ClusterState clusterState = context.clusterState();
        boolean expired = now.isAfter(leaseEnd(registry.getOrTakeOver(machine)));
        // The cloud has confirmed that the machine is gone.
        boolean gone = clusterState.machine(machine) == null;
        if (!expired && !gone) {
            return 0;
        }
        EndProof proof = gone ? EndProof.MACHINE_GONE : EndProof.LEASE_EXPIRED;
        List<Claim> ended = clusterState.claimsOn(machine).values().stream()
                .filter(claim -> !outcomes.contains(claim))
                .toList();
        ended.forEach(claim -> outcomes.recordOutcome(claim, AttemptOutcome.NotDone.RETRY, proof));
        return ended.size();
    }

    private Instant leaseEnd(AgentState agent) {
        return agent.leaseCountedFrom()
                .plusNanos((long) (context.settings().agentLease().toNanos() * CLOCK_DRIFT_FACTOR))
                .plus(LEASE_MARGIN);
    }

    /** Returns whether an agent's machine is gone and its last heartbeat or lease renewal is past the retention time. */
    boolean canBeRemoved(AgentState agent, Instant now) {
        return context.clusterState().machine(agent.machine()) == null
                && context.clusterState().claimsOn(agent.machine()).isEmpty()
                && Duration.between(agent.lastActivity(), now).compareTo(RETENTION) > 0;
    }
}
