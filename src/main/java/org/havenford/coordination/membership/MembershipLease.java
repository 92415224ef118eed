package org.havenford.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreOutcome;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.StoreResult;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MemberRegistration;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's lease in the store, and the registration that is attached to it. The id of the lease is the incarnation of
 * the node. An expired lease is replaced by a new one at once, that of an evicted node after a delay.
 */
final class MembershipLease {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipLease.class);

    private static final long NO_LEASE = 0;
    private static final int RENEWALS_PER_LEASE = 4;
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(300);
    /** Time until the next attempt after a response that could not be read. */
    private static final Duration RETRY_AFTER_BAD_RESPONSE = Duration.ofSeconds(1);
    /** After its first eviction a node joins again this much later; twice as long after each further one. */
    private static final Duration FIRST_REJOIN_DELAY = Duration.ofSeconds(2);

    private static final Duration MAX_REJOIN_DELAY = Duration.ofSeconds(32);

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreReplica replica;
    private final ViewVerification verification;
    private final String node;
    private final Duration duration;

    private long id = NO_LEASE;
    private boolean registered;
    /** Until when the lease is certain to hold; null if it may have ended. */
    private Instant certainUntil;

    private Duration rejoinDelay = FIRST_REJOIN_DELAY;

    MembershipLease(
            EventLoop loop,
            StoreClient store,
            StoreReplica replica,
            ViewVerification verification,
            MembershipSettings settings) {
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.verification = verification;
        this.node = settings.node();
        this.duration = settings.leaseDuration();
    }

    /** Whether this node has a lease; it may have ended in the store. */
    boolean isHeld() {
        return id != NO_LEASE;
    }

    /** The id of the lease, and thereby this node's incarnation; meaningful only while it is held. */
    long id() {
        return id;
    }

    /** Whether the registration of this lease has been committed. */
    boolean isRegistered() {
        return registered;
    }

    /** Whether the lease is certain to hold at a time. */
    boolean isCertainAt(Instant now) {
        return certainUntil != null && now.isBefore(certainUntil);
    }

    /** Creates a lease, and registers with it; tries until it succeeds. */
    void acquire() {
        Instant sentAt = loop.now();
        registered = false;
        store.createLease(duration, result -> {
            if (!result.ok()) {
                loop.after(RETRY_INTERVAL, this::acquire);
                return;
            }
            try {
                acquired(result.leaseId(), sentAt);
            } catch (MalformedMessageException e) {
                LOG.warn("created lease cannot be read: error={}", e.getMessage());
                loop.after(RETRY_AFTER_BAD_RESPONSE, this::acquire);
            }
        });
    }

    private void acquired(long newId, Instant sentAt) {
        id = newId;
        certainUntil = LeaseClock.certainUntil(sentAt, duration);
        register();
        loop.after(renewalInterval(), () -> renew(newId));
    }

    private Duration renewalInterval() {
        return duration.dividedBy(RENEWALS_PER_LEASE);
    }

    private void renew(long renewedId) {
        if (renewedId != id) {
            return;
        }
        Instant sentAt = loop.now();
        store.renewLease(renewedId, result -> {
            if (renewedId == id) {
                renewalAnswered(renewedId, sentAt, result);
            }
        });
        if (registered) {
            verification.compareWithStore();
        }
    }

    private void renewalAnswered(long renewedId, Instant sentAt, StoreResult result) {
        if (result.outcome() == StoreOutcome.ABSENT) {
            LOG.info("membership lease expired: lease={}", renewedId);
            certainUntil = null;
            id = NO_LEASE;
            acquire();
            return;
        }
        if (result.ok()) {
            certainUntil = LeaseClock.certainUntil(sentAt, duration);
        }
        loop.after(result.ok() ? renewalInterval() : RETRY_INTERVAL, () -> renew(renewedId));
    }

    /** Registers once more, after the registration of another incarnation has replaced ours. */
    void registerAgain() {
        registered = false;
        register();
    }

    private void register() {
        if (!isHeld()) {
            // A retry that was due after the lease had ended: a registration without a lease would stay for ever.
            return;
        }
        long registeredId = id;
        MemberRegistration registration = new MemberRegistration(registeredId, MemberRegistry.CURRENT_FORMAT);
        Transaction transaction = new Transaction().put(Keys.member(node), registration.toJson(), registeredId);
        store.commit(transaction, CallPriority.LEASE, result -> {
            if (registeredId == id) {
                registrationAnswered(transaction, result);
            }
        });
    }

    private void registrationAnswered(Transaction transaction, StoreResult result) {
        if (result.outcome() == StoreOutcome.REJECTED) {
            id = NO_LEASE;
            loop.after(RETRY_INTERVAL, this::acquire);
        } else if (result.ok()) {
            registered = true;
            replica.applyCommitted(transaction, result.revision());
        } else {
            loop.after(RETRY_INTERVAL, this::register);
        }
    }

    /**
     * Ends the lease of an evicted incarnation, and joins as another one later. The node may have been unresponsive for a
     * while only; the delay grows with each eviction, so that a node that stalls again and again does not keep machines
     * moving.
     */
    void rejoinAfterEviction() {
        LOG.warn("evicted from the view: rejoinDelayS={}", rejoinDelay.toSeconds());
        long evictedId = id;
        id = NO_LEASE;
        registered = false;
        certainUntil = null;
        store.endLease(evictedId, result -> {});
        loop.after(rejoinDelay, this::acquire);
        Duration doubled = rejoinDelay.multipliedBy(2);
        rejoinDelay = doubled.compareTo(MAX_REJOIN_DELAY) > 0 ? MAX_REJOIN_DELAY : doubled;
    }
}
