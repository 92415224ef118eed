package org.havenford.coordination.scheduling;

import java.time.Instant;
import java.util.List;
import java.util.function.Predicate;
import org.havenford.coordination.agents.AgentManager;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.MachineRecord;

/** Availability of machines according to the agent manager, and the claims that this controller has in flight. */
final class ControllerMachineAvailability implements MachineAvailability {
    private final AgentManager agentManager;
    private final ClaimsInFlight claimsInFlight;

    ControllerMachineAvailability(AgentManager agentManager, ClaimsInFlight claimsInFlight) {
        this.agentManager = agentManager;
        this.claimsInFlight = claimsInFlight;
    }

    @Override
    public MachineRecord.Condition condition(MachineRecord machine) {
        return agentManager.condition(machine);
    }

    @Override
    public List<String> images(MachineRecord machine) {
        return agentManager.images(machine);
    }

    @Override
    public Predicate<Instant> acceptsTasksAt(MachineRecord machine) {
        return agentManager.acceptsTasksAt(machine);
    }

    @Override
    public boolean hasEnded(Claim claim) {
        return agentManager.outcomes().contains(claim);
    }

    @Override
    public List<JobSpec> claimsInFlight(String machine) {
        return claimsInFlight.on(machine);
    }
}
