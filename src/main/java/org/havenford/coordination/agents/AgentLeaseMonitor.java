package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import org.havenford.storage.ClusterState;

/** Ends the attempts on machines whose agents' leases have expired, and determines which agents can be removed. */
final class AgentLeaseMonitor {
    /** How long the state of an agent without record and claims is kept after its last heartbeat or lease renewal. */
    private static final Duration RETENTION = Duration.ofMinutes(3);
    /** Factor on the lease duration that covers the drift between the clocks of the agent and this controller. */
    private static final double CLOCK_DRIFT_FACTOR = 1.002;

    /** Safety margin added to the end of a lease. */
    private static final Duration LEASE_MARGIN = Duration.ofMillis(1500);

    private final AgentContext context;
    private final AgentRegistry registry;
    private final AttemptOutcomes outcomes;

    AgentLeaseMonitor(AgentContext context, AgentRegistry registry, AttemptOutcomes outcomes) {
        this.context = context;
        this.registry = registry;
        this.outcomes = outcomes;
    }

    /** Ends the attempts on owned machines that are gone or whose agents' leases have expired, allowing for clock drift. */
    void expireLeases(Instant now) {
        ClusterState clusterState = context.clusterState();
        for (String machine : clusterState.claimedMachines()) {
            if (context.owns(machine)) {
                boolean expired = now.isAfter(leaseEnd(registry.getOrTakeOver(machine)));
                // The cloud has confirmed that the machine is gone.
                boolean gone = clusterState.machine(machine) == null;
                if (expired || gone) {
                    clusterState
                            .claimsOn(machine)
                            .values()
                            .forEach(claim -> outcomes.recordOutcome(claim, AttemptOutcome.NotDone.RETRY));
                }
            }
        }
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
