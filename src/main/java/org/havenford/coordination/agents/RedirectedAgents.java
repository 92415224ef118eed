package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.havenford.coordination.membership.Membership;

/**
 * Tracks agents that report to this controller although another one owns their machines. An agent that is redirected to the
 * owner and reports here again could not reach the owner. Reassigning its machine requires a new epoch of the view, so it is
 * requested only after repeated heartbeats; by then an owner that many agents cannot reach has been cordoned.
 */
final class RedirectedAgents {
    /** Maximum time between heartbeats of the same series; after a longer gap a new series begins. */
    private static final Duration MAX_GAP = Duration.ofSeconds(15);

    /** How long an agent is tracked after its last misdirected heartbeat. */
    private static final Duration RETENTION = Duration.ofMinutes(1);
    /** Divides an agent's lease; an agent must keep reporting here for one third of it before its machine is reassigned. */
    private static final int LEASE_DIVISOR = 3;

    private record HeartbeatSeries(Instant first, Instant last) {}

    private final Membership membership;
    private final Duration reassignmentDelay;
    private final Map<String, HeartbeatSeries> seriesByMachine = new HashMap<>();

    RedirectedAgents(Membership membership, Duration agentLease) {
        this.membership = membership;
        this.reassignmentDelay = agentLease.dividedBy(LEASE_DIVISOR);
    }

    /** Records a heartbeat from a machine that another controller owns, and may request to reassign the machine. */
    void recordHeartbeat(String machine, Instant now) {
        HeartbeatSeries previous = seriesByMachine.get(machine);
        if (previous == null || now.isAfter(previous.last().plus(MAX_GAP))) {
            // A single heartbeat is normal: new machines report to any controller, and a change of the view redirects
            // agents.
            seriesByMachine.put(machine, new HeartbeatSeries(now, now));
            return;
        }
        seriesByMachine.put(machine, new HeartbeatSeries(previous.first(), now));
        membership.recordMisdirectedHeartbeat(machine, membership.owner(machine));
        if (now.isAfter(previous.first().plus(reassignmentDelay))) {
            membership.requestReassignment(machine);
            seriesByMachine.remove(machine);
        }
    }

    /** Stops tracking the agent of a machine that this controller owns. */
    void stopTracking(String machine) {
        seriesByMachine.remove(machine);
    }

    /** Discards all series after a pause of this process: later heartbeats do not continue the earlier ones. */
    void processPaused() {
        seriesByMachine.clear();
    }

    /** Stops tracking agents whose last misdirected heartbeat is older than the retention time. */
    void removeExpired(Instant now) {
        seriesByMachine.values().removeIf(series -> now.isAfter(series.last().plus(RETENTION)));
    }
}
