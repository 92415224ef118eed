package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import org.havenford.storage.ClusterState;

/** Gives up the claims on machines whose agents' leases have expired, and tells which agents can be forgotten. */
final class AgentLeaseMonitor {
    /** How long an agent without a record is remembered after it was last heard. */
    private static final Duration RETENTION = Duration.ofMinutes(3);
    /** What the agent's steady clock and ours may differ by, as a part of the lease. */
    private static final double CLOCK_DRIFT = 1.002;

    private static final Duration MARGIN = Duration.ofMillis(1500);

    private final AgentContext context;
    private final AgentRegistry registry;
    private final AttemptOutcomes outcomes;

    AgentLeaseMonitor(AgentContext context, AgentRegistry registry, AttemptOutcomes outcomes) {
        this.context = context;
        this.registry = registry;
        this.outcomes = outcomes;
    }

    /** Ends the attempts on owned machines whose agents' leases have expired on any clock, or that are gone. */
    void expireLeases(Instant now) {
        ClusterState clusterState = context.clusterState();
        for (String machine : clusterState.claimedMachines()) {
            if (context.owns(machine)) {
                boolean expired = now.isAfter(leaseEnd(registry.getOrTakeOver(machine)));
                // The cloud has confirmed that the machine is gone.
                boolean returned = clusterState.machine(machine) == null;
                if (expired || returned) {
                    clusterState
                            .claimsOn(machine)
                            .values()
                            .forEach(claim -> outcomes.end(claim, AttemptOutcome.NotDone.RETRY));
                }
            }
        }
    }

    private Instant leaseEnd(AgentState agent) {
        return agent.leaseRenewedAt()
                .plusNanos((long) (context.settings().agentLease().toNanos() * CLOCK_DRIFT))
                .plus(MARGIN);
    }

    /** Whether an agent's machine went back to the cloud so long ago that nothing of it is expected any more. */
    boolean isForgotten(AgentState agent, Instant now) {
        return context.clusterState().machine(agent.machine()) == null
                && context.clusterState().claimsOn(agent.machine()).isEmpty()
                && Duration.between(agent.lastSign(), now).compareTo(RETENTION) > 0;
    }
}
