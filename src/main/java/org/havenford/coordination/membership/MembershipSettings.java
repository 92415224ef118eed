package org.havenford.coordination.membership;

import java.time.Duration;
import java.util.Set;

/**
 * Settings of a node's membership.
 *
 * @param node name of this node
 * @param configuredNodes names of all controllers of the deployment, this node included
 * @param leaseDuration duration of the membership lease
 * @param longestLeaseDuration the longest duration of the lease of another node with the same settings, of any version:
 *     earlier ones do not always shorten it to keep the cancellation limit
 */
public record MembershipSettings(
        String node, Set<String> configuredNodes, Duration leaseDuration, Duration longestLeaseDuration) {}
