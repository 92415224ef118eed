package org.havenford.storage;

import java.time.Duration;
import java.time.Instant;

/** Our own limit on calls to an outside system, below the one that it enforces. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Tokens that rounding may lose. */
    private static final double TOLERANCE = 1e-9;

    private final double burstSeconds;
    private double rate;
    private double tokens;
    private Instant lastRefill;

    /** A full bucket for {@code rate} tokens a second that holds what comes in {@code burstSeconds}. */
    public TokenBucket(double rate, double burstSeconds, Instant now) {
        this.rate = rate;
        this.burstSeconds = burstSeconds;
        this.tokens = rate * burstSeconds;
        this.lastRefill = now;
    }

    /** Changes the rate, in tokens a second. */
    public void setRate(double newRate) {
        rate = newRate;
    }

    /** The most tokens that the bucket holds; at least one. */
    public double capacity() {
        return Math.max(1, rate * burstSeconds);
    }

    private void refill(Instant now) {
        double elapsedSeconds = Duration.between(lastRefill, now).toNanos() / NANOS_PER_SECOND;
        tokens = Math.min(capacity(), tokens + elapsedSeconds * rate);
        lastRefill = now;
    }

    /** Whether so many tokens can be taken; a need larger than the whole bucket is met once the bucket is full. */
    public boolean has(double needed, Instant now) {
        refill(now);
        return tokens >= Math.min(needed, capacity()) - TOLERANCE;
    }

    /** Takes tokens; their number may become negative. */
    public void take(double taken) {
        tokens -= taken;
    }
}
