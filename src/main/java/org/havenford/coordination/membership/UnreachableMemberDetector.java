package org.havenford.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.havenford.storage.records.ClusterView;

/**
 * Detects a member that many of its agents cannot reach, by counting per owner the machines whose heartbeats arrive at
 * this node although another member owns them. If agents of several members are affected, the fault lies with the
 * agents, and cordoning a member would not help.
 */
final class UnreachableMemberDetector {
    /** An agent that was redirected to its owner and returns within this time has failed to reach the owner. */
    private static final Duration MISDIRECTION_WINDOW = Duration.ofSeconds(8);
    /**
     * Time after a view change or a pause during which nothing is detected, because agents need time to find their
     * owners.
     */
    private static final Duration STABILIZATION_PERIOD = Duration.ofSeconds(12);
    /**
     * Minimum fraction of a member's machines with misdirected heartbeats for the member to be considered unreachable.
     */
    private static final double MIN_MISDIRECTED_FRACTION = 0.125;

    private static final int MIN_MISDIRECTED_MACHINES = 2;

    private final String node;
    private final MembershipListener listener;
    /** Time of the last misdirected heartbeat of each machine, by owner and machine. */
    private final Map<String, Map<String, Instant>> misdirectedHeartbeats = new HashMap<>();
    /** When the counts were last reset; null before the first view. */
    private Instant countingStartedAt;

    UnreachableMemberDetector(String node, MembershipListener listener) {
        this.node = node;
        this.listener = listener;
    }

    /** Discards all counts and starts a new stabilization period. */
    void reset(Instant now) {
        misdirectedHeartbeats.clear();
        countingStartedAt = now;
    }

    /** Records that this node received a heartbeat of a machine that another member owns. */
    void recordMisdirectedHeartbeat(String machine, String owner, Instant now) {
        misdirectedHeartbeats
                .computeIfAbsent(owner, newOwner -> new HashMap<>())
                .put(machine, now);
    }

    /**
     * Returns the member that its agents cannot reach, if any. Its fraction of misdirected machines must be more than
     * twice that of every other active member. This node itself is never returned.
     */
    Optional<String> unreachableMember(ClusterView view, Instant now) {
        if (view.activeMembers().size() < 2 || isStabilizing(now) || misdirectedHeartbeats.isEmpty()) {
            return Optional.empty();
        }
        String worstMember = null;
        double worstFraction = 0;
        double secondWorstFraction = 0;
        for (String owner : view.activeMembers()) {
            int count = countMisdirectedMachines(owner, now);
            double fraction = count / (double) Math.max(1, listener.ownedMachineCount(owner));
            if (fraction > worstFraction) {
                secondWorstFraction = worstFraction;
                worstFraction = fraction;
                worstMember = count >= MIN_MISDIRECTED_MACHINES ? owner : null;
            } else {
                secondWorstFraction = Math.max(secondWorstFraction, fraction);
            }
        }
        boolean isOutlier = worstFraction >= MIN_MISDIRECTED_FRACTION && secondWorstFraction < worstFraction / 2;
        return isOutlier ? Optional.ofNullable(worstMember).filter(member -> !member.equals(node)) : Optional.empty();
    }

    private boolean isStabilizing(Instant now) {
        return countingStartedAt != null && now.isBefore(countingStartedAt.plus(STABILIZATION_PERIOD));
    }

    private int countMisdirectedMachines(String owner, Instant now) {
        Map<String, Instant> machines = misdirectedHeartbeats.get(owner);
        if (machines == null) {
            return 0;
        }
        machines.values().removeIf(receivedAt -> now.isAfter(receivedAt.plus(MISDIRECTION_WINDOW)));
        return machines.size();
    }
}
