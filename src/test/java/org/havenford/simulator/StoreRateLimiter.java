package org.havenford.simulator;

import java.time.Duration;
import java.time.Instant;

/** Limits the rates of requests and of changes with two token buckets, each of which holds one second's worth. */
final class StoreRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final ClusterSimulator simulator;
    /** The time of the last refill; null before the first request, which finds both buckets full. */
    private Instant lastRefill;

    private double requestTokens;
    private double changeTokens;

    StoreRateLimiter(ClusterSimulator simulator) {
        this.simulator = simulator;
    }

    /**
     * Takes the tokens for a request with this many changes and returns whether both buckets had enough. A request that
     * exceeds only one limit is still charged to the other.
     */
    boolean tryAcquire(double requestsPerSecond, double changesPerSecond, int changes) {
        if (lastRefill == null) {
            lastRefill = simulator.now;
            requestTokens = requestsPerSecond;
            changeTokens = changesPerSecond;
        }
        long elapsedNanos = Duration.between(lastRefill, simulator.now).toNanos();
        lastRefill = simulator.now;
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
