package org.havenford.coordination.agents;

/** Receives notifications of changes to agents and machines that concern the scheduler. */
public interface AgentListener {
    /** Called when an attempt on a machine has ended, or the condition or the cached images of the machine have changed. */
    void capacityChanged(String machine);

    /** Called when a scheduling round is due, after a heartbeat with changes or the end of a direct call. */
    void roundDue();
}
