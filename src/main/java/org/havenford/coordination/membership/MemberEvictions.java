package org.havenford.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.LivenessProbe;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Evicts members from the view before their lease expires. A suspected member is first sent a liveness probe through
 * the store: a key that the member deletes if it is alive. The eviction is conditional on the mod revision of this key,
 * so it cannot be committed after the member has answered.
 */
public final class MemberEvictions {
    private static final Logger LOG = LoggerFactory.getLogger(MemberEvictions.class);

    /** A probe older than this was left behind by a member that is gone, and may be replaced by another member. */
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);

    /** Logged in place of the requester if a probe does not contain a readable one. */
    private static final String UNKNOWN_REQUESTER = "?";

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreReplica replica;
    private final Membership membership;
    private final String node;
    private final EvictionBackoff backoff = new EvictionBackoff();
    /** When the latest unanswered probe of each member was observed in the replica, by member. */
    private final Map<String, Instant> unansweredProbeTimes = new HashMap<>();

    /**
     * Creates an instance that probes and evicts members on behalf of one node.
     *
     * @param node the name of this node, which sends and answers probes
     */
    public MemberEvictions(
            EventLoop loop, StoreClient store, StoreReplica replica, Membership membership, String node) {
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.membership = membership;
        this.node = node;
    }

    /** Counts the evictions listed in the new view. Every member does so, so the backoff holds for all of them. */
    public void viewChanged() {
        membership
                .view()
                .evicted()
                .forEach((member, incarnation) -> backoff.recordEviction(member, incarnation, loop.now()));
    }

    /**
     * Returns whether this node may evict a member now: the backoff after its last eviction has elapsed, this node may
     * answer agents, and every member of the view supports evictions.
     */
    public boolean mayEvict(String member) {
        return !backoff.isInBackoff(member, loop.now())
                && membership.mayAnswerAgents()
                && membership.allSupportEvictions();
    }

    /**
     * Creates a liveness probe for a member in the store.
     *
     * @param callback receives the mod revision of the probe, or 0 if it was not created
     */
    public void createLivenessProbe(String member, long incarnation, LongConsumer callback) {
        Instant observedAt = unansweredProbeTimes.get(member);
        if (observedAt != null && loop.now().isBefore(observedAt.plus(PROBE_TIMEOUT))) {
            // Replacing another member's probe would make that member's eviction fail, so that concurrent evictions of
            // the same node would only block each other. See standby-two-conductors.trace.
            callback.accept(0);
            return;
        }
        String key = Keys.livenessProbe(member);
        Transaction transaction = new Transaction()
                .requireRevision(Keys.VIEW, membership.viewRevision())
                .requireRevision(key, replica.modRevision(key))
                .put(key, new LivenessProbe(node, incarnation).toJson());
        store.commit(transaction, CallPriority.LEASE, result -> {
            if (result.ok()) {
                replica.applyCommitted(transaction, result.revision());
            }
            callback.accept(result.ok() ? result.revision() : 0);
        });
    }

    /** Returns whether, according to the replica, a probe has been neither answered nor replaced nor withdrawn. */
    public boolean isProbeUnanswered(String member, long probeRevision) {
        return replica.modRevision(Keys.livenessProbe(member)) == probeRevision;
    }

    /** Withdraws a probe by deleting its key, unless the key has changed since. */
    public void withdrawProbe(String member, long probeRevision) {
        deleteProbe(member, probeRevision);
    }

    /**
     * Evicts a member that did not answer a probe.
     *
     * @param callback receives whether the view without the member was committed
     */
    public void evict(String member, long incarnation, long probeRevision, Consumer<Boolean> callback) {
        membership.evict(member, incarnation, probeRevision, committed -> {
            if (committed) {
                // A delayed copy of its registration request then fails, because its lease no longer exists.
                store.endLease(incarnation, result -> {});
            }
            callback.accept(committed);
        });
    }

    /**
     * Handles a probe that was created, or deleted if {@code probe} is null. A probe for this node is answered by
     * deleting it, even if it names a former incarnation of the node.
     */
    public void livenessProbeChanged(String member, LivenessProbe probe, long probeRevision) {
        if (probe == null) {
            unansweredProbeTimes.remove(member);
            return;
        }
        unansweredProbeTimes.put(member, loop.now());
        if (member.equals(node)) {
            LOG.info("answering a liveness probe: suspectedBy={}", requesterOf(probe));
            deleteProbe(member, probeRevision);
        }
    }

    private String requesterOf(LivenessProbe probe) {
        if (probe.readError() != null) {
            LOG.warn("liveness probe cannot be read: member={} error={}", node, probe.readError());
        }
        return probe.requester() == null ? UNKNOWN_REQUESTER : probe.requester();
    }

    private void deleteProbe(String member, long probeRevision) {
        String key = Keys.livenessProbe(member);
        Transaction transaction =
                new Transaction().requireRevision(key, probeRevision).delete(key);
        store.commit(transaction, CallPriority.LEASE, result -> {
            if (result.ok()) {
                replica.applyCommitted(transaction, result.revision());
            }
        });
    }
}
