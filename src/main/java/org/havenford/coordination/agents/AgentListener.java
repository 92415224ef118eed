package org.havenford.coordination.agents;

/** Is told what heartbeats have changed for the scheduler. */
public interface AgentListener {
    /** A machine can take more or less than before: an attempt ended there, or its condition or cached images changed. */
    void capacityChanged(String machine);

    /** A heartbeat has brought news; a scheduling round is due. */
    void roundDue();
}
