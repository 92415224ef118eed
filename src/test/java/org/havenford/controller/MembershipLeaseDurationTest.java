package org.havenford.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests which membership leases fit between the lease of an agent and the cancellation limit. */
class MembershipLeaseDurationTest {
    private static final int LONGEST_SECONDS = 120;

    private static Optional<Duration> longest(double cancellationLimit, double agentLease) {
        return MembershipLeaseDuration.longestWithin(
                Duration.ofMillis((long) (cancellationLimit * 1000)), Duration.ofMillis((long) (agentLease * 1000)));
    }

    /** Guards against a lease that is too long for the limit, or none where two seconds would fit. */
    @Test
    void bothLeasesFitWithinTheLimitWhereverAnyLeaseDoes() {
        for (int lease = 1; lease <= LONGEST_SECONDS; lease++) {
            for (int limit = 1; limit <= LONGEST_SECONDS; limit++) {
                double left = limit - lease * 1.001;
                Optional<Duration> longest = longest(limit, lease);
                assertEquals(left >= 3, longest.isPresent(), lease + " " + limit);
                longest.ifPresent(found -> {
                    double seconds = found.toMillis() / 1e3;
                    assertTrue(seconds >= 2 && seconds <= left - 1 + 1e-9, () -> found + " " + left);
                });
            }
        }
    }

    @Test
    void noLeaseFitsIfTheLimitEqualsTheLeaseOrIsSmaller() {
        assertEquals(Optional.empty(), longest(26, 26));
        assertEquals(Optional.empty(), longest(20, 46));
    }

    @Test
    void aLimitThatLeavesMuchRoomLeavesTheUsualMargin() {
        assertEquals(Duration.ofMillis(13974), longest(46, 26).orElseThrow());
        assertEquals(Duration.ofSeconds(3), longest(31, 26).orElseThrow());
    }
}
