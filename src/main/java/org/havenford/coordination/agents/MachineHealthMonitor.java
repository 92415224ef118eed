package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import org.havenford.protocol.Heartbeat;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Judges the condition of this controller's machines from their reports. */
final class MachineHealthMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(MachineHealthMonitor.class);
    /** Reports in a row without a sign that our answers arrive, from which on a machine counts as silent. */
    static final int MOST_UNANSWERED = 2;
    /** A worker that has lost its controller tries others one after the other: no record is written for it meanwhile. */
    private static final Duration SEARCHING = Duration.ofSeconds(10);

    private final AgentListener listener;
    private final MachineFaultDetector faultDetector;
    /** Ages of a report, worked out once: they are compared for each machine in each round. */
    private final Duration fresh;

    private final Duration silent;

    /** {@code listener} is told of machines whose condition has changed. */
    MachineHealthMonitor(PlatformSettings settings, MachineFaultDetector faultDetector, AgentListener listener) {
        this.faultDetector = faultDetector;
        this.listener = listener;
        this.fresh = settings.heartbeatInterval().multipliedBy(2);
        this.silent = settings.heartbeatInterval().multipliedBy(5).dividedBy(2);
    }

    /** Age up to which a report says how a machine is. */
    Duration fresh() {
        return fresh;
    }

    /** Whether a machine can be given new tasks. */
    boolean usable(AgentState machine, Instant now) {
        // Answers to /do renew no lease: what starts on a machine that only answers is killed with it.
        // mute-machine.trace
        return machine.heartbeat != null
                && machine.noticeUntil == null
                && !now.isBefore(machine.refusedUntil)
                && now.isBefore(machine.lastHeartbeatAt.plus(fresh));
    }

    /** Works out the condition of a machine anew. */
    void judge(AgentState machine, MachineRecord onRecord, Instant now) {
        Condition condition = machine.condition;
        if (machine.heartbeat != null && now.isBefore(machine.lastHeartbeatAt.plus(fresh))) {
            condition = heardLately(machine, onRecord);
        } else if (machine.heartbeat == null && onRecord.condition().compareTo(Condition.RETIRING) < 0) {
            // Not heard yet: what the owner before us said.
            condition = onRecord.condition();
        }
        Instant lastSign = machine.heartbeat == null ? machine.leaseRenewedAt : machine.lastHeartbeatAt;
        boolean expected = condition == Condition.UP || condition == Condition.DRAINING;
        if (expected && Duration.between(lastSign, now).compareTo(silence(machine)) > 0) {
            condition = Condition.SILENT;
        }
        if (condition != machine.condition) {
            machine.condition = condition;
            listener.capacityChanged(machine.name);
        }
    }

    private Condition heardLately(AgentState machine, MachineRecord onRecord) {
        if (machine.unanswered >= MOST_UNANSWERED) {
            return Condition.SILENT;
        }
        boolean faulty = faultDetector.isFaulty(machine.name)
                || machine.condition == Condition.FAULTY
                || contradicts(machine, onRecord);
        if (faulty) {
            return Condition.FAULTY;
        }
        return machine.noticeUntil != null ? Condition.DRAINING : Condition.UP;
    }

    /** After this long without a report a machine is on record as silent. */
    private Duration silence(AgentState machine) {
        return machine.heartbeat == null ? silent.plus(SEARCHING) : silent;
    }

    /**
     * Whether a machine is not what its record says: then nobody knows what may run there, so it gets no more tasks and goes
     * back to the cloud. contradicting-record.trace
     */
    private static boolean contradicts(AgentState machine, MachineRecord onRecord) {
        Heartbeat heartbeat = machine.heartbeat;
        boolean same = heartbeat.type().equals(onRecord.type())
                && heartbeat.zone().equals(onRecord.zone())
                && heartbeat.spot() == onRecord.spot();
        if (!same && machine.condition != Condition.FAULTY) {
            LOG.error(
                    "{} is on record as {}, zone {}, spot {}, and reports {}, zone {}, spot {}",
                    machine.name,
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
