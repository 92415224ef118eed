package org.havenford.simulator;

import java.time.Duration;
import java.time.Instant;

/** The rate limits of the simulated state service on requests and on changes; each allows bursts of one second's worth. */
final class StoreRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final ClusterSimulator simulator;
    /** Null before the first request: the buckets are full then. */
    private Instant refilled;

    private double requestTokens;
    private double changeTokens;

    StoreRateLimiter(ClusterSimulator simulator) {
        this.simulator = simulator;
    }

    /**
     * Whether a request with this many changes is within both limits, which are in units per second. A request that exceeds
     * one limit is charged to the other all the same.
     */
    boolean admits(double requestsPerSecond, double changesPerSecond, int changes) {
        if (refilled == null) {
            refilled = simulator.now;
            requestTokens = requestsPerSecond;
            changeTokens = changesPerSecond;
        }
        long elapsedNanos = Duration.between(refilled, simulator.now).toNanos();
        refilled = simulator.now;
        requestTokens = refill(requestTokens, requestsPerSecond, elapsedNanos);
        changeTokens = refill(changeTokens, changesPerSecond, elapsedNanos);
        boolean requestAllowed = requestTokens >= 1;
        boolean changesAllowed = changeTokens >= changes;
        if (requestAllowed) {
            requestTokens -= 1;
        }
        if (changesAllowed) {
            changeTokens -= changes;
        }
        return requestAllowed && changesAllowed;
    }

    private static double refill(double tokens, double perSecond, long elapsedNanos) {
        return Math.min(perSecond, tokens + perSecond * elapsedNanos / NANOS_PER_SECOND);
    }
}
