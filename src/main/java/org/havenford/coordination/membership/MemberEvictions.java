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
 * Takes a member out of the view before its lease has ended. The store is the witness: the member is asked by a liveness
 * probe, which is a key of the store, whether it is alive, and deletes the key if it is. The eviction is conditional on the
 * mod revision of the key, so it cannot be committed once the member has answered.
 */
public final class MemberEvictions {
    private static final Logger LOG = LoggerFactory.getLogger(MemberEvictions.class);

    /** A probe older than this was left by a member that has ended, and may be replaced by another member's. */
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);

    /** What a probe that cannot be read names as its requester. */
    private static final String UNKNOWN_REQUESTER = "?";

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreReplica replica;
    private final Membership membership;
    private final String node;
    private final EvictionBackoff backoff = new EvictionBackoff();
    /** When the probes that stand were first seen here, by the node that is asked. */
    private final Map<String, Instant> unansweredProbes = new HashMap<>();

    /** Evictions carried out by the given node. */
    public MemberEvictions(
            EventLoop loop, StoreClient store, StoreReplica replica, Membership membership, String node) {
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.membership = membership;
        this.node = node;
    }

    /** The view has changed: every member counts the evictions that it names. */
    public void viewChanged() {
        membership.view().evicted().forEach((name, incarnation) -> backoff.evicted(name, incarnation, loop.now()));
    }

    /** Whether a member may be evicted now: it was not lately, and every member reads views that name evictions. */
    public boolean mayEvict(String name) {
        return !backoff.isSpared(name, loop.now()) && membership.mayAnswerAgents() && membership.allSupportEvictions();
    }

    /**
     * Asks a member through the store whether it is alive.
     *
     * @param asked is given the mod revision of the probe, 0 if it was not made
     */
    public void probe(String name, long incarnation, LongConsumer asked) {
        Instant probedAt = unansweredProbes.get(name);
        if (probedAt != null && loop.now().isBefore(probedAt.plus(PROBE_TIMEOUT))) {
            // Another member's probe would be replaced, and its eviction would fail: two would only hinder each other.
            // standby-two-conductors.trace
            asked.accept(0);
            return;
        }
        String key = Keys.livenessProbe(name);
        Transaction transaction = new Transaction()
                .requireRevision(Keys.VIEW, membership.viewRevision())
                .requireRevision(key, replica.modRevision(key))
                .put(key, new LivenessProbe(node, incarnation).toJson());
        store.commit(transaction, CallPriority.LEASE, result -> {
            if (result.ok()) {
                replica.applyCommitted(transaction, result.revision());
            }
            asked.accept(result.ok() ? result.revision() : 0);
        });
    }

    /** Whether a probe still stands, as far as the replica shows: nobody has answered, replaced or withdrawn it. */
    public boolean probeIsUnanswered(String name, long probeRevision) {
        return replica.modRevision(Keys.livenessProbe(name)) == probeRevision;
    }

    /** Withdraws a probe. */
    public void withdrawProbe(String name, long probeRevision) {
        deleteProbe(name, probeRevision);
    }

    /** Evicts a member that did not answer a probe; tells whether the view without it was committed. */
    public void evict(String name, long incarnation, long probeRevision, Consumer<Boolean> done) {
        membership.evict(name, incarnation, probeRevision, committed -> {
            if (committed) {
                // A late copy of its registration then finds no lease to attach to.
                store.endLease(incarnation, result -> {});
            }
            done.accept(committed);
        });
    }

    /**
     * A probe was made, or is gone if {@code probe} is null. If it is for this node, deleting it is the answer, also when
     * it asks for a former incarnation of the node.
     */
    public void livenessProbeChanged(String name, LivenessProbe probe, long probeRevision) {
        if (probe == null) {
            unansweredProbes.remove(name);
            return;
        }
        unansweredProbes.put(name, loop.now());
        if (name.equals(node)) {
            LOG.info("answering a liveness probe: suspectedBy={}", requesterOf(probe));
            deleteProbe(name, probeRevision);
        }
    }

    private String requesterOf(LivenessProbe probe) {
        if (probe.readError() != null) {
            LOG.warn("liveness probe cannot be read: member={} error={}", node, probe.readError());
        }
        return probe.requester() == null ? UNKNOWN_REQUESTER : probe.requester();
    }

    private void deleteProbe(String name, long probeRevision) {
        String key = Keys.livenessProbe(name);
        Transaction transaction =
                new Transaction().requireRevision(key, probeRevision).delete(key);
        store.commit(transaction, CallPriority.LEASE, result -> {
            if (result.ok()) {
                replica.applyCommitted(transaction, result.revision());
            }
        });
    }
}
