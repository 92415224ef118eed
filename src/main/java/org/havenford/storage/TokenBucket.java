package org.havenford.storage;

import java.time.Duration;
import java.time.Instant;

/** Token bucket that keeps the rate of calls to an external system below the limit that the system enforces. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Number of tokens that may be lost to rounding. */
    private static final double TOLERANCE = 1e-9;

    private final double burstSeconds;
    private double rate;
    private double tokens;
    private Instant lastRefill;

    /** Creates a full bucket with {@code rate} tokens per second that holds the tokens of {@code burstSeconds}. */
    public TokenBucket(double rate, double burstSeconds, Instant now) {
        this.rate = rate;
        this.burstSeconds = burstSeconds;
        this.tokens = rate * burstSeconds;
        this.lastRefill = now;
    }

    /** Changes the rate, in tokens per second. */
    public void setRate(double newRate) {
        rate = newRate;
    }

    /** Returns the largest number of tokens that the bucket holds, which is at least one. */
    public double capacity() {
        return Math.max(1, rate * burstSeconds);
    }

    private void refill(Instant now) {
        double elapsedSeconds = Duration.between(lastRefill, now).toNanos() / NANOS_PER_SECOND;
        tokens = Math.min(capacity(), tokens + elapsedSeconds * rate);
        lastRefill = now;
    }

    /** Returns whether this many tokens are available; for more than the capacity, whether the bucket is full. */
    public boolean hasTokens(double count, Instant now) {
        refill(now);
        return tokens >= Math.min(count, capacity()) - TOLERANCE;
    }

    /** Takes tokens; the number of tokens left may become negative. */
    public void take(double count) {
        tokens -= count;
    }
}
