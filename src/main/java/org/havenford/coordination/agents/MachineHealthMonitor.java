package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import org.havenford.protocol.Heartbeat;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Determines the condition of the machines of this controller from the heartbeats of their agents. */
final class MachineHealthMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(MachineHealthMonitor.class);
    /**
     * Extra time before a machine whose agent has not reported to this controller counts as silent. An agent that has lost
     * its controller tries the others in turn, and no silent status should be stored for it meanwhile.
     */
    private static final Duration OWNER_SEARCH_TIME = Duration.ofSeconds(10);

    private final AgentListener listener;
    private final MachineFaultDetector faultDetector;
    /** Maximum age of a heartbeat that counts as current. Precomputed, because each round compares it for each machine. */
    private final Duration heartbeatFreshness;

    /** Time without a heartbeat after which a machine that has reported counts as silent. */
    private final Duration silenceThreshold;

    /** Creates a monitor; {@code listener} is notified of each machine whose condition has changed. */
    MachineHealthMonitor(PlatformSettings settings, MachineFaultDetector faultDetector, AgentListener listener) {
        this.faultDetector = faultDetector;
        this.listener = listener;
        this.heartbeatFreshness = settings.heartbeatInterval().multipliedBy(2);
        this.silenceThreshold = settings.heartbeatInterval().multipliedBy(5).dividedBy(2);
    }

    /** Returns the maximum age of a heartbeat that counts as current. */
    Duration heartbeatFreshness() {
        return heartbeatFreshness;
    }

    /** Returns whether a machine can take new tasks. */
    boolean canTakeTasks(AgentState agent, Instant now) {
        // Replies to direct calls do not renew the agent's lease, so tasks started on a machine that only replies would
        // be killed when its lease expires. Covered by mute-machine.trace and mute-agent-restarts.trace.
        return agent.hasReportedInIncarnation()
                && agent.interruptionAt() == null
                && !agent.withholdsTasks(now)
                && agent.hasHeartbeatWithin(heartbeatFreshness, now);
    }

    /** Updates the condition of a machine and notifies the listener if it has changed. */
    void updateCondition(AgentState agent, MachineRecord machineRecord, Instant now) {
        Condition condition = determineCondition(agent, machineRecord, now);
        if (condition != agent.condition()) {
            agent.setCondition(condition);
            listener.capacityChanged(agent.machine());
        }
    }

    private Condition determineCondition(AgentState agent, MachineRecord machineRecord, Instant now) {
        Condition condition = agent.condition();
        if (agent.hasReported() && agent.hasHeartbeatWithin(heartbeatFreshness, now)) {
            condition = determineReportingCondition(agent, machineRecord);
        } else if (!agent.hasReported() && machineRecord.condition().compareTo(Condition.RETIRING) < 0) {
            // The agent has not reported yet: use the condition that the former owner stored.
            condition = machineRecord.condition();
        }
        boolean expected = condition == Condition.UP || condition == Condition.DRAINING;
        return expected && agent.isSilentLongerThan(maxSilence(agent), now) ? Condition.SILENT : condition;
    }

    private Condition determineReportingCondition(AgentState agent, MachineRecord machineRecord) {
        if (agent.isMissingResponses()) {
            return Condition.SILENT;
        }
        boolean faulty = faultDetector.isFaulty(agent.machine())
                || agent.condition() == Condition.FAULTY
                || contradictsRecord(agent, machineRecord);
        if (faulty) {
            return Condition.FAULTY;
        }
        return agent.interruptionAt() != null ? Condition.DRAINING : Condition.UP;
    }

    /** Returns how long a machine may go without an unsolicited heartbeat before it counts as silent. */
    private Duration maxSilence(AgentState agent) {
        return agent.hasReported() ? silenceThreshold : silenceThreshold.plus(OWNER_SEARCH_TIME);
    }

    /**
     * Returns whether the machine reports another type, zone or spot property than its record. The constraints of its tasks
     * cannot be checked then, so the machine is treated as faulty: it gets no new tasks and is returned to the cloud.
     * Covered by contradicting-record.trace.
     */
    private static boolean contradictsRecord(AgentState agent, MachineRecord machineRecord) {
        Heartbeat heartbeat = agent.heartbeat();
        boolean matches = heartbeat.type().equals(machineRecord.type())
                && heartbeat.zone().equals(machineRecord.zone())
                && heartbeat.spot() == machineRecord.spot();
        if (!matches && agent.condition() != Condition.FAULTY) {
            LOG.error(
                    "machine contradicts its record: machine={} recordType={} recordZone={} recordSpot={} type={} zone={} spot={}",
                    agent.machine(),
                    machineRecord.type(),
                    machineRecord.zone(),
                    machineRecord.spot(),
                    heartbeat.type(),
                    heartbeat.zone(),
                    heartbeat.spot());
        }
        return !matches;
    }
}
