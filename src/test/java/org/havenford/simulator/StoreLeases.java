package org.havenford.simulator;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

/** Manages the leases of the simulated state service. A lease that is not renewed expires, but not during an outage. */
final class StoreLeases {
    /** How long after its end a lease is removed. */
    private static final Duration EXPIRY_DELAY = Duration.ofMillis(20);

    private static final class Lease {
        private final Duration duration;
        private Instant end;

        Lease(Duration duration, Instant end) {
            this.duration = duration;
            this.end = end;
        }
    }

    private final ClusterSimulator simulator;
    private final BooleanSupplier isUnavailable;
    private final LongConsumer onExpiry;
    private final Map<Long, Lease> leases = new HashMap<>();
    private long lastId;

    /**
     * Creates an empty set of leases.
     *
     * @param isUnavailable returns whether the service is currently unavailable
     * @param onExpiry called with the id of each lease that expires
     */
    StoreLeases(ClusterSimulator simulator, BooleanSupplier isUnavailable, LongConsumer onExpiry) {
        this.simulator = simulator;
        this.isUnavailable = isUnavailable;
        this.onExpiry = onExpiry;
    }

    /** Grants a new lease and returns its id. */
    long grant(Duration duration) {
        lastId++;
        leases.put(lastId, new Lease(duration, simulator.now.plus(duration)));
        scheduleExpiry(lastId);
        return lastId;
    }

    /** Renews a lease: it ends its full duration from now. Returns false if the lease does not exist. */
    boolean renew(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return false;
        }
        lease.end = simulator.now.plus(lease.duration);
        scheduleExpiry(id);
        return true;
    }

    /** Ends a lease now; it is removed after {@link #EXPIRY_DELAY}. Returns false if the lease does not exist. */
    boolean release(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return false;
        }
        lease.end = simulator.now;
        scheduleExpiry(id);
        return true;
    }

    /** Returns whether an operation may name this lease: the lease exists, or the operation names none. */
    boolean allowsLeaseId(OptionalLong id) {
        return id.isEmpty() || leases.containsKey(id.getAsLong());
    }

    /** Renews all leases, as the state service does at the end of an outage. */
    void renewAll() {
        leases.values().forEach(lease -> lease.end = simulator.now.plus(lease.duration));
        leases.keySet().forEach(this::scheduleExpiry);
    }

    private void scheduleExpiry(long id) {
        Lease lease = leases.get(id);
        simulator.after(
                Duration.between(simulator.now, lease.end).plus(EXPIRY_DELAY), () -> removeIfExpired(id, lease));
    }

    private void removeIfExpired(long id, Lease lease) {
        if (leases.get(id) == lease && !isUnavailable.getAsBoolean() && !simulator.now.isBefore(lease.end)) {
            leases.remove(id);
            onExpiry.accept(id);
        }
    }
}
