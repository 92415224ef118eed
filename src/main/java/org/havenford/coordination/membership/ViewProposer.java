package org.havenford.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.Keys;
import org.havenford.transport.EventLoop;

/** Proposes new views to the store by compare-and-swap, one proposal at a time. */
final class ViewProposer {
    /** Minimum time between a proposal and a following one that does not change the members. */
    private static final Duration MIN_PROPOSAL_INTERVAL = Duration.ofSeconds(2);

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreReplica replica;
    private final CurrentView currentView;
    private final MemberRegistry registry;
    private boolean proposing;
    /** When the last proposal was sent; null before the first. */
    private Instant lastProposalAt;

    ViewProposer(
            EventLoop loop, StoreClient store, StoreReplica replica, CurrentView currentView, MemberRegistry registry) {
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.currentView = currentView;
        this.registry = registry;
    }

    /** Returns whether a proposal is in flight. */
    boolean isProposing() {
        return proposing;
    }

    /** Returns whether the minimum interval before a proposal that does not change the members has elapsed. */
    boolean minIntervalElapsed(Instant now) {
        return lastProposalAt == null || !now.isBefore(lastProposalAt.plus(MIN_PROPOSAL_INTERVAL));
    }

    /** Proposes a view that replaces the current one. */
    void propose(ClusterView newView) {
        Transaction transaction = newViewTransaction();
        // The conditions on the registrations ensure that a member is removed only if its leased key no longer exists
        // or belongs to a later incarnation of the node. The removed incarnation then no longer considers its lease
        // valid.
        TreeMap<String, Long> allMembers = new TreeMap<>(newView.members());
        allMembers.putAll(currentView.view().members());
        allMembers.keySet().forEach(member -> requireRegistration(transaction, member));
        transaction.put(Keys.VIEW, newView.toJson());
        commit(transaction, committed -> {});
    }

    /**
     * Proposes the current view without a member whose lease may still be valid. The transaction requires that the
     * member has not answered the liveness probe, and also deletes the member's registration and the probe.
     *
     * @param callback receives whether the view was committed
     */
    void evict(String node, long incarnation, long probeRevision, Consumer<Boolean> callback) {
        Transaction transaction = newViewTransaction();
        ClusterView view = currentView.view();
        view.members().keySet().forEach(member -> requireRegistration(transaction, member));
        String probe = Keys.livenessProbe(node);
        transaction
                .requireRevision(probe, probeRevision)
                .put(Keys.VIEW, ViewChange.evict(view, node, incarnation).toJson())
                .delete(Keys.member(node))
                .delete(probe);
        commit(transaction, callback);
    }

    private Transaction newViewTransaction() {
        return new Transaction().requireRevision(Keys.VIEW, currentView.modRevision());
    }

    private void requireRegistration(Transaction transaction, String node) {
        transaction.requireRevision(Keys.member(node), registry.modRevision(node));
    }

    private void commit(Transaction transaction, Consumer<Boolean> callback) {
        proposing = true;
        lastProposalAt = loop.now();
        store.commit(transaction, CallPriority.LEASE, result -> {
            proposing = false;
            if (result.ok()) {
                replica.applyCommitted(transaction, result.revision());
            }
            callback.accept(result.ok());
        });
    }
}
