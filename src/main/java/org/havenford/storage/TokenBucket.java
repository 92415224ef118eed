package org.havenford.storage;

import java.time.Duration;
import java.time.Instant;

/** Our own limit on calls to an outside system, below the one that it enforces. */
public final class TokenBucket {
    private double rate;
    private final double burstSeconds;
    private double tokens;
    private Instant last;

    /** A full bucket for {@code rate} tokens a second that holds what comes in {@code burstSeconds}. */
    public TokenBucket(double rate, double burstSeconds, Instant now) {
        this.rate = rate;
        this.burstSeconds = burstSeconds;
        this.tokens = rate * burstSeconds;
        this.last = now;
    }

    /** Changes the rate. */
    public void rate(double newRate) {
        rate = newRate;
    }

    /** The most that the bucket holds. */
    public double size() {
        return Math.max(1, rate * burstSeconds);
    }

    private void refill(Instant now) {
        tokens = Math.min(size(), tokens + Duration.between(last, now).toNanos() / 1e9 * rate);
        last = now;
    }

    /** Whether {@code n} can be taken; a need larger than the whole bucket is met once the bucket is full. */
    public boolean has(double n, Instant now) {
        refill(now);
        return tokens >= Math.min(n, size()) - 1e-9;
    }

    /** Takes tokens; their number may become negative. */
    public void take(double n) {
        tokens -= n;
    }
}
