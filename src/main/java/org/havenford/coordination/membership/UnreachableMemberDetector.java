package org.havenford.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.havenford.storage.records.ClusterView;

/**
 * Finds the one member that many of its agents cannot reach. Heartbeats that come here although another member owns the
 * machine are counted by owner. When agents of other members are misdirected as well, the fault is with the agents, and
 * cordoning a member would not help.
 */
final class UnreachableMemberDetector {
    /** An agent that is redirected to its owner and comes back within this has not reached it. */
    private static final Duration MISDIRECTED_WITHIN = Duration.ofSeconds(8);
    /** After a change of the view agents need time to find their owners. */
    private static final Duration STABILIZATION_PERIOD = Duration.ofSeconds(12);
    /** Part of a member's machines that must be misdirected before the member counts as unreachable. */
    private static final double MIN_MISDIRECTED_FRACTION = 0.125;

    private static final int MIN_MISDIRECTED = 2;

    private final String node;
    private final MembershipListener listener;
    /** When machines were last redirected to their owner from here, by owner. */
    private final Map<String, Map<String, Instant>> misdirected = new HashMap<>();
    /** Since when the counts go on; null before the first view. */
    private Instant countingSince;

    UnreachableMemberDetector(String node, MembershipListener listener) {
        this.node = node;
        this.listener = listener;
    }

    /** Forgets all counts, and waits for the stabilization period. */
    void restart(Instant now) {
        misdirected.clear();
        countingSince = now;
    }

    /** A heartbeat of a machine came here although another member owns the machine. */
    void recordMisdirectedHeartbeat(String machine, String owner, Instant now) {
        misdirected.computeIfAbsent(owner, newOwner -> new HashMap<>()).put(machine, now);
    }

    /** Returns the member that is unreachable for its agents, if there is one besides this node. */
    Optional<String> unreachableMember(ClusterView view, Instant now) {
        if (view.activeMembers().size() < 2 || isStabilizing(now) || misdirected.isEmpty()) {
            return Optional.empty();
        }
        String worst = null;
        double worstFraction = 0;
        double secondFraction = 0;
        for (String owner : view.activeMembers()) {
            int count = countMisdirected(owner, now);
            double fraction = count / (double) Math.max(1, listener.ownedMachines(owner));
            if (fraction > worstFraction) {
                secondFraction = worstFraction;
                worstFraction = fraction;
                worst = count >= MIN_MISDIRECTED ? owner : null;
            } else {
                secondFraction = Math.max(secondFraction, fraction);
            }
        }
        boolean standsOut = worstFraction >= MIN_MISDIRECTED_FRACTION && secondFraction < worstFraction / 2;
        return standsOut ? Optional.ofNullable(worst).filter(member -> !member.equals(node)) : Optional.empty();
    }

    private boolean isStabilizing(Instant now) {
        return countingSince != null && now.isBefore(countingSince.plus(STABILIZATION_PERIOD));
    }

    private int countMisdirected(String owner, Instant now) {
        Map<String, Instant> machines = misdirected.get(owner);
        if (machines == null) {
            return 0;
        }
        machines.values().removeIf(redirectedAt -> now.isAfter(redirectedAt.plus(MISDIRECTED_WITHIN)));
        return machines.size();
    }
}
