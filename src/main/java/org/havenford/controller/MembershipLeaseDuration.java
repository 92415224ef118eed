package org.havenford.controller;

import java.time.Duration;
import java.util.Optional;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Chooses the duration of the membership lease so that the tasks of a cancelled job are gone within the cancellation
 * limit, even if the owner of their machines is cut off from the store. Such an owner may renew the leases of its agents
 * until its own lease expires, so one lease of each kind must fit within the limit.
 */
final class MembershipLeaseDuration {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipLeaseDuration.class);

    /** Time that both leases leave of the cancellation limit where the membership lease stays long enough. */
    private static final Duration MARGIN = Duration.ofSeconds(6);
    /** Time that both leases always leave, in which an agent notices that its lease has expired. */
    private static final Duration MIN_MARGIN = Duration.ofSeconds(1);
    /** The membership lease is not shortened below this for the sake of more than the smallest margin. */
    private static final Duration SHORT_LEASE = Duration.ofSeconds(3);
    /** With a shorter lease, a controller would lose its membership whenever the store responds slowly. */
    private static final Duration MIN_LEASE = Duration.ofSeconds(2);
    /** Bound on the relative drift between the clocks of an agent and a user. */
    private static final double MAX_CLOCK_DRIFT = 0.001;

    private MembershipLeaseDuration() {}

    /** Returns the duration of the membership lease, and logs a warning if none keeps the cancellation limit. */
    static Duration choose(PlatformSettings settings, OperatorSettings operatorSettings) {
        Duration configured = operatorSettings.membershipLease();
        Optional<Duration> longest = longestWithin(settings.cancellationLimit(), settings.agentLease());
        if (longest.isEmpty()) {
            LOG.warn(
                    "cancelled tasks may outlive the cancellation limit on machines that are cut off, as no membership lease"
                            + " is short enough: cancelS={} agentLeaseS={} requiredCancelS={} membershipLeaseS={}",
                    seconds(settings.cancellationLimit()),
                    seconds(settings.agentLease()),
                    seconds(withDrift(settings.agentLease()).plus(MIN_MARGIN).plus(MIN_LEASE)),
                    seconds(configured));
            return configured;
        }
        return shorter(configured, longest.get());
    }

    /** Returns the longest membership lease that keeps the cancellation limit, or empty if none does. */
    static Optional<Duration> longestWithin(Duration cancellationLimit, Duration agentLease) {
        Duration left = cancellationLimit.minus(withDrift(agentLease));
        Duration longest = longer(left.minus(MARGIN), shorter(left.minus(MIN_MARGIN), SHORT_LEASE));
        return longest.compareTo(MIN_LEASE) < 0 ? Optional.empty() : Optional.of(longest);
    }

    private static Duration withDrift(Duration agentLease) {
        return agentLease.plusMillis((long) Math.ceil(agentLease.toMillis() * MAX_CLOCK_DRIFT));
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    private static double seconds(Duration duration) {
        return duration.toMillis() / 1e3;
    }
}
