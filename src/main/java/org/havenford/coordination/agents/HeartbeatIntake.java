package org.havenford.coordination.agents;

import org.havenford.protocol.Heartbeat;
import org.havenford.storage.records.MachineRecord;

/** Applies a new heartbeat to the attempts on the machine and to its condition, or adopts a machine without a record. */
final class HeartbeatIntake {
    private final AgentContext context;
    private final ChangedMachines changedMachines;
    private final HeartbeatReconciler reconciler;
    private final MachineAdoption adoption;
    private final MachineHealthMonitor healthMonitor;

    HeartbeatIntake(
            AgentContext context,
            ChangedMachines changedMachines,
            HeartbeatReconciler reconciler,
            MachineAdoption adoption,
            MachineHealthMonitor healthMonitor) {
        this.context = context;
        this.changedMachines = changedMachines;
        this.reconciler = reconciler;
        this.adoption = adoption;
        this.healthMonitor = healthMonitor;
    }

    /** Applies a heartbeat that is newer than the last one of the agent. */
    void apply(AgentState agent, Heartbeat heartbeat, HeartbeatOrigin origin) {
        changedMachines.add(agent.machine());
        reconciler.reconcile(agent, heartbeat, origin);
        MachineRecord machineRecord = context.clusterState().machine(agent.machine());
        if (machineRecord == null) {
            adoption.handleHeartbeat(agent, heartbeat);
        } else {
            healthMonitor.updateCondition(agent, machineRecord, context.loop().now());
        }
    }
}
