package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import org.havenford.protocol.Heartbeat;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Judges the condition of this controller's machines from the heartbeats of their agents. */
final class MachineHealthMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(MachineHealthMonitor.class);
    /** An agent that has lost its controller tries others one after the other: no record is written for it meanwhile. */
    private static final Duration SEARCH_TIME = Duration.ofSeconds(10);

    private final AgentListener listener;
    private final MachineFaultDetector faultDetector;
    /** Ages of a heartbeat, worked out once: they are compared for each machine in each round. */
    private final Duration fresh;

    private final Duration silent;

    /** {@code listener} is told of machines whose condition has changed. */
    MachineHealthMonitor(PlatformSettings settings, MachineFaultDetector faultDetector, AgentListener listener) {
        this.faultDetector = faultDetector;
        this.listener = listener;
        this.fresh = settings.heartbeatInterval().multipliedBy(2);
        this.silent = settings.heartbeatInterval().multipliedBy(5).dividedBy(2);
    }

    /** Age up to which a heartbeat says how a machine is. */
    Duration fresh() {
        return fresh;
    }

    /** Whether a machine can be given new tasks. */
    boolean usable(AgentState agent, Instant now) {
        // Replies to direct commands renew no lease: what starts on a machine that only replies is killed with it.
        // mute-machine.trace
        return agent.hasReported()
                && agent.interruptionAt() == null
                && !agent.refusesTasks(now)
                && agent.hasHeartbeatWithin(fresh, now);
    }

    /** Works out the condition of a machine anew. */
    void judge(AgentState agent, MachineRecord onRecord, Instant now) {
        Condition condition = conditionOf(agent, onRecord, now);
        if (condition != agent.condition()) {
            agent.setCondition(condition);
            listener.capacityChanged(agent.machine());
        }
    }

    private Condition conditionOf(AgentState agent, MachineRecord onRecord, Instant now) {
        Condition condition = agent.condition();
        if (agent.hasReported() && agent.hasHeartbeatWithin(fresh, now)) {
            condition = conditionOfReporting(agent, onRecord);
        } else if (!agent.hasReported() && onRecord.condition().compareTo(Condition.RETIRING) < 0) {
            // Not heard yet: what the owner before us said.
            condition = onRecord.condition();
        }
        boolean expected = condition == Condition.UP || condition == Condition.DRAINING;
        return expected && agent.isSilentLongerThan(maxSilence(agent), now) ? Condition.SILENT : condition;
    }

    private Condition conditionOfReporting(AgentState agent, MachineRecord onRecord) {
        if (agent.isUnanswered()) {
            return Condition.SILENT;
        }
        boolean faulty = faultDetector.isFaulty(agent.machine())
                || agent.condition() == Condition.FAULTY
                || contradicts(agent, onRecord);
        if (faulty) {
            return Condition.FAULTY;
        }
        return agent.interruptionAt() != null ? Condition.DRAINING : Condition.UP;
    }

    /** After this long without a heartbeat a machine is on record as silent. */
    private Duration maxSilence(AgentState agent) {
        return agent.hasReported() ? silent : silent.plus(SEARCH_TIME);
    }

    /**
     * Whether a machine is not what its record says: then nobody knows what may run there, so it gets no more tasks and goes
     * back to the cloud. contradicting-record.trace
     */
    private static boolean contradicts(AgentState agent, MachineRecord onRecord) {
        Heartbeat heartbeat = agent.heartbeat();
        boolean same = heartbeat.type().equals(onRecord.type())
                && heartbeat.zone().equals(onRecord.zone())
                && heartbeat.spot() == onRecord.spot();
        if (!same && agent.condition() != Condition.FAULTY) {
            LOG.error(
                    "machine contradicts its record: machine={} recordType={} recordZone={} recordSpot={} type={} zone={} spot={}",
                    agent.machine(),
                    onRecord.type(),
                    onRecord.zone(),
                    onRecord.spot(),
                    heartbeat.type(),
                    heartbeat.zone(),
                    heartbeat.spot());
        }
        return !same;
    }
}
