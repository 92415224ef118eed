package org.havenford.simulator;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

/** The leases of the simulated state service. A lease that is not renewed expires, but never during an outage. */
final class StoreLeases {
    /** How much later than its end an expired lease is noticed. */
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
    private final BooleanSupplier outage;
    private final LongConsumer expired;
    private final Map<Long, Lease> leases = new HashMap<>();
    private long lastId;

    /**
     * Creates an empty set of leases.
     *
     * @param outage whether the service is unavailable at the moment
     * @param expired called with the id of a lease once it has expired
     */
    StoreLeases(ClusterSimulator simulator, BooleanSupplier outage, LongConsumer expired) {
        this.simulator = simulator;
        this.outage = outage;
        this.expired = expired;
    }

    /** Grants a new lease and returns its id. */
    long grant(Duration duration) {
        lastId++;
        leases.put(lastId, new Lease(duration, simulator.now.plus(duration)));
        scheduleExpiry(lastId);
        return lastId;
    }

    /** Extends a lease by its duration from now; false if there is no such lease. */
    boolean renew(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return false;
        }
        lease.end = simulator.now.plus(lease.duration);
        scheduleExpiry(id);
        return true;
    }

    /** Ends a lease before its time; false if there is no such lease. */
    boolean release(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return false;
        }
        lease.end = simulator.now;
        scheduleExpiry(id);
        return true;
    }

    /** Whether a write may be bound to this lease; a write without one always may. */
    boolean permits(OptionalLong id) {
        return id.isEmpty() || leases.containsKey(id.getAsLong());
    }

    /** Extends all leases, as the service does when an outage ends. */
    void renewAll() {
        leases.values().forEach(lease -> lease.end = simulator.now.plus(lease.duration));
        leases.keySet().forEach(this::scheduleExpiry);
    }

    private void scheduleExpiry(long id) {
        Lease lease = leases.get(id);
        simulator.after(Duration.between(simulator.now, lease.end).plus(EXPIRY_DELAY), () -> expireIfDue(id, lease));
    }

    private void expireIfDue(long id, Lease lease) {
        if (leases.get(id) == lease && !outage.getAsBoolean() && !simulator.now.isBefore(lease.end)) {
            leases.remove(id);
            expired.accept(id);
        }
    }
}
