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
 * This node's lease in the store and the registration attached to it. The lease id serves as the node's incarnation. An
 * expired lease is replaced immediately; after an eviction, the node acquires a new lease after a delay.
 */
final class MembershipLease {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipLease.class);

    private static final long NO_LEASE = 0;
    private static final int RENEWALS_PER_LEASE = 4;
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(300);
    /** Delay before the next attempt after a malformed response. */
    private static final Duration MALFORMED_RESPONSE_RETRY_INTERVAL = Duration.ofSeconds(1);
    /** Delay before the node rejoins after its first eviction; doubled with each further eviction, up to a maximum. */
    private static final Duration INITIAL_REJOIN_DELAY = Duration.ofSeconds(2);

    private static final Duration MAX_REJOIN_DELAY = Duration.ofSeconds(32);

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreReplica replica;
    private final ViewVerification verification;
    private final String node;
    private final Duration leaseDuration;

    private long id = NO_LEASE;
    private boolean registered;
    /** Time until which the lease is guaranteed to be valid; null if it may have expired. */
    private Instant validUntil;

    private Duration rejoinDelay = INITIAL_REJOIN_DELAY;

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
        this.leaseDuration = settings.leaseDuration();
    }

    /** Returns whether this node has a lease, which may already have expired in the store. */
    boolean isHeld() {
        return id != NO_LEASE;
    }

    /** Returns the lease id, which is this node's incarnation; meaningful only while a lease is held. */
    long id() {
        return id;
    }

    /** Returns whether the registration under this lease has been committed. */
    boolean isRegistered() {
        return registered;
    }

    /** Returns whether the lease is guaranteed to be valid at {@code now}. */
    boolean isValidAt(Instant now) {
        return validUntil != null && now.isBefore(validUntil);
    }

    /** Creates a lease and registers this node under it; retries until it succeeds. */
    void acquire() {
        Instant sentAt = loop.now();
        registered = false;
        store.createLease(leaseDuration, result -> {
            if (!result.ok()) {
                loop.after(RETRY_INTERVAL, this::acquire);
                return;
            }
            try {
                handleLeaseCreated(result.leaseId(), sentAt);
            } catch (MalformedMessageException e) {
                LOG.warn("created lease cannot be read: error={}", e.getMessage());
                loop.after(MALFORMED_RESPONSE_RETRY_INTERVAL, this::acquire);
            }
        });
    }

    private void handleLeaseCreated(long newId, Instant sentAt) {
        id = newId;
        validUntil = LeaseClock.earliestExpiry(sentAt, leaseDuration);
        register();
        loop.after(renewalInterval(), () -> renew(newId));
    }

    private Duration renewalInterval() {
        return leaseDuration.dividedBy(RENEWALS_PER_LEASE);
    }

    private void renew(long renewedId) {
        if (renewedId != id) {
            return;
        }
        Instant sentAt = loop.now();
        store.renewLease(renewedId, result -> {
            if (renewedId == id) {
                handleRenewalResult(renewedId, sentAt, result);
            }
        });
        if (registered) {
            verification.compareWithStore();
        }
    }

    private void handleRenewalResult(long renewedId, Instant sentAt, StoreResult result) {
        if (result.outcome() == StoreOutcome.ABSENT) {
            LOG.info("membership lease expired: lease={}", renewedId);
            validUntil = null;
            id = NO_LEASE;
            acquire();
            return;
        }
        if (result.ok()) {
            validUntil = LeaseClock.earliestExpiry(sentAt, leaseDuration);
        }
        loop.after(result.ok() ? renewalInterval() : RETRY_INTERVAL, () -> renew(renewedId));
    }

    /** Registers this node again after the registration of another incarnation has replaced it. */
    void registerAgain() {
        registered = false;
        register();
    }

    private void register() {
        if (!isHeld()) {
            // This is a retry that fired after the lease had ended: a registration without a lease would never expire.
            return;
        }
        long registeredId = id;
        MemberRegistration registration = new MemberRegistration(registeredId, MemberRegistry.CURRENT_FORMAT);
        Transaction transaction = new Transaction().put(Keys.member(node), registration.toJson(), registeredId);
        store.commit(transaction, CallPriority.LEASE, result -> {
            if (registeredId == id) {
                handleRegistrationResult(transaction, result);
            }
        });
    }

    private void handleRegistrationResult(Transaction transaction, StoreResult result) {
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
     * Ends the lease of the evicted incarnation, and rejoins under a new one after a delay. The node may have been
     * unresponsive only temporarily. The delay doubles with each eviction, so that a node that stalls repeatedly does
     * not cause constant reassignment of machines.
     */
    void rejoinAfterEviction() {
        LOG.warn("evicted from the view: rejoinDelayS={}", rejoinDelay.toSeconds());
        long evictedId = id;
        id = NO_LEASE;
        registered = false;
        validUntil = null;
        store.endLease(evictedId, result -> {});
        loop.after(rejoinDelay, this::acquire);
        Duration doubled = rejoinDelay.multipliedBy(2);
        rejoinDelay = doubled.compareTo(MAX_REJOIN_DELAY) > 0 ? MAX_REJOIN_DELAY : doubled;
    }
}
