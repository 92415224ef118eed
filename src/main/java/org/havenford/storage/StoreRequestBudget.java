package org.havenford.storage;

import java.time.Duration;
import java.time.Instant;

/**
 * This controller's share of the store's limits. It starts as an even share and adapts: it grows slowly while it is
 * exhausted, and shrinks when the store refuses a call. After a refusal no call is sent for a back-off time.
 */
final class StoreRequestBudget {
    /** Fraction of the store's limits that the controllers use together if each uses its even share. */
    private static final double TARGET_UTILIZATION = 0.92;
    /** Smallest share after repeated refusals, in even shares of the lower limit to which the store may switch. */
    private static final double MIN_SHARE = 0.7;

    private static final double REQUEST_BURST_SECONDS = 0.5;
    private static final double WRITE_BURST_SECONDS = 0.8;

    private static final Duration ADJUSTMENT_INTERVAL = Duration.ofSeconds(1);
    /** Time without refusals before the share grows. */
    private static final Duration GROWTH_DELAY = Duration.ofSeconds(2);

    private static final double GROWTH_FACTOR = 1.15;
    private static final double SHRINK_FACTOR = 0.75;
    /** Largest fraction of the limits that one controller may use while the others are idle. */
    private static final double MAX_FRACTION_OF_LIMITS = 0.9;
    /** Factors by which a share that was not exhausted returns to an even one, from below and from above. */
    private static final double RECOVERY_UP_FACTOR = 1.03;

    private static final double RECOVERY_DOWN_FACTOR = 0.97;

    private static final Duration LEASE_BACK_OFF = Duration.ofMillis(60);
    private static final Duration BACK_OFF_STEP = Duration.ofMillis(100);
    private static final int MAX_BACK_OFF_STEPS = 10;

    private final StoreLimits limits;
    private final double minShare;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private int controllers;
    /** This controller's share of the limits, in even shares. */
    private double share = 1;

    private boolean exhausted;
    private Instant lastAdjustment;
    private int consecutiveRefusals;
    /** Time of the last refusal. Null until the first one, as are the two back-off times. */
    private Instant lastRefusal;

    private Instant backOffUntil;
    private Instant leaseBackOffUntil;

    /** Creates the budget for an even share of the limits among {@code controllers}, with full buckets. */
    StoreRequestBudget(StoreLimits limits, int controllers, Instant now) {
        this.limits = limits;
        this.minShare = MIN_SHARE * limits.nextWritesPerSecond() / limits.writesPerSecond();
        this.requests = new TokenBucket(limits.requestsPerSecond(), REQUEST_BURST_SECONDS, now);
        this.writes = new TokenBucket(limits.writesPerSecond(), WRITE_BURST_SECONDS, now);
        this.lastAdjustment = now;
        divideAmong(controllers);
    }

    /** Divides the limits among the controllers that are alive. */
    void divideAmong(int aliveControllers) {
        controllers = Math.max(1, aliveControllers);
        share = Math.min(share, controllers);
        applyShare();
    }

    private void applyShare() {
        requests.setRate(limits.requestsPerSecond() * TARGET_UTILIZATION * share / controllers);
        writes.setRate(limits.writesPerSecond() * TARGET_UTILIZATION * share / controllers);
    }

    /** Returns this controller's share of the limits, in even shares. */
    double share() {
        return share;
    }

    /** Returns the requests per second of an even share. */
    double evenShareOfRequests() {
        return limits.requestsPerSecond() * TARGET_UTILIZATION / controllers;
    }

    /** Returns whether a transaction with this many operations would have to wait for the limit of writes. */
    boolean lacksWrites(int operationCount, Instant now) {
        return !writes.hasTokens(operationCount, now);
    }

    /**
     * Adapts the share to exhaustion and refusals, at most once per interval. Growing beyond the even share risks
     * little, since a call that the store refuses is not executed and costs only that one call.
     */
    void adjust(Instant now) {
        if (Duration.between(lastAdjustment, now).compareTo(ADJUSTMENT_INTERVAL) < 0) {
            return;
        }
        lastAdjustment = now;
        double before = share;
        if (!exhausted) {
            share = share < 1 ? Math.min(1, share * RECOVERY_UP_FACTOR) : Math.max(1, share * RECOVERY_DOWN_FACTOR);
        } else if (!refusedWithin(GROWTH_DELAY, now)) {
            share = Math.min(Math.max(1, controllers * MAX_FRACTION_OF_LIMITS), share * GROWTH_FACTOR);
        }
        exhausted = false;
        if (share != before) {
            applyShare();
        }
    }

    /** Records that a call of a priority above SPARE was held back. */
    void markExhausted() {
        exhausted = true;
    }

    /** Records that the store refused a call because of its limits. */
    void recordRefusal(Instant now) {
        consecutiveRefusals++;
        backOffUntil = now.plus(BACK_OFF_STEP.multipliedBy(Math.min(MAX_BACK_OFF_STEPS, consecutiveRefusals)));
        leaseBackOffUntil = now.plus(LEASE_BACK_OFF);
        if (!refusedWithin(ADJUSTMENT_INTERVAL, now)) {
            share = Math.max(minShare, share * SHRINK_FACTOR);
            applyShare();
        }
        lastRefusal = now;
    }

    /** Resets the count of consecutive refusals, so that the next back-off is the shortest again. */
    void resetBackOff() {
        consecutiveRefusals = 0;
    }

    private boolean refusedWithin(Duration time, Instant now) {
        return lastRefusal != null && !now.isAfter(lastRefusal.plus(time));
    }

    /**
     * Returns whether a call may be sent now. LEASE and WATCH calls do not wait for the buckets; losing the lease, for
     * instance, costs far more than one refused call. After a refusal, LEASE calls wait briefly, and all others longer
     * with each consecutive refusal: immediate retries would use up what is left of the limit.
     *
     * @param higherPriorityWaits whether calls of a higher priority wait for the budget
     */
    boolean permits(CallPriority priority, int operationCount, boolean higherPriorityWaits, Instant now) {
        if (priority == CallPriority.LEASE) {
            return hasPassed(leaseBackOffUntil, now);
        }
        if (priority == CallPriority.WATCH) {
            return hasPassed(backOffUntil, now);
        }
        if (higherPriorityWaits || !hasPassed(backOffUntil, now)) {
            return false;
        }
        double reservedFraction = reservedFraction(priority);
        return requests.hasTokens(1 + requests.capacity() * reservedFraction, now)
                && (operationCount == 0
                        || writes.hasTokens(operationCount + writes.capacity() * reservedFraction, now));
    }

    private static boolean hasPassed(Instant time, Instant now) {
        return time == null || !now.isBefore(time);
    }

    /**
     * Returns the fraction of a bucket that is reserved for calls of a higher priority: the acceptance of a job must
     * not wait because other work has just emptied the bucket.
     */
    private static double reservedFraction(CallPriority priority) {
        return switch (priority) {
            case USER -> 0;
            case CLAIM -> 0.15;
            case WORK -> 0.3;
            default -> 0.5;
        };
    }

    /** Takes one request and its operations from the budget. */
    void take(int operationCount) {
        requests.take(1);
        writes.take(operationCount);
    }
}
