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

/** Proposes views to the store by compare-and-swap, one at a time. */
final class ViewProposer {
    /** Time between proposals that leave the members as they are. */
    private static final Duration MIN_INTERVAL = Duration.ofSeconds(2);

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreReplica replica;
    private final CurrentView currentView;
    private final MemberRegistry registry;
    private boolean proposing;
    /** When the last proposal was sent; null if there was none. */
    private Instant lastProposal;

    ViewProposer(
            EventLoop loop, StoreClient store, StoreReplica replica, CurrentView currentView, MemberRegistry registry) {
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.currentView = currentView;
        this.registry = registry;
    }

    /** Whether the outcome of a proposal is not known yet. */
    boolean isProposing() {
        return proposing;
    }

    /** Whether enough time has passed since the last proposal for one that leaves the members as they are. */
    boolean intervalHasPassed(Instant now) {
        return lastProposal == null || !now.isBefore(lastProposal.plus(MIN_INTERVAL));
    }

    /** Proposes a view in place of the one in force. */
    void propose(ClusterView next) {
        Transaction transaction = replacingCurrentView();
        // A member leaves only while its leased key is certainly gone (or a later incarnation of the node has replaced
        // it), so it can no longer hold itself entitled to act.
        TreeMap<String, Long> allMembers = new TreeMap<>(next.members());
        allMembers.putAll(currentView.view().members());
        allMembers.keySet().forEach(member -> requireRegistration(transaction, member));
        transaction.put(Keys.VIEW, next.toJson());
        commit(transaction, committed -> {});
    }

    /**
     * Proposes the view without a member whose lease may still run, provided that the member has not answered the liveness
     * probe meanwhile. Its registration is deleted in the same transaction.
     */
    void evict(String node, long incarnation, long probeRevision, Consumer<Boolean> done) {
        Transaction transaction = replacingCurrentView();
        ClusterView view = currentView.view();
        view.members().keySet().forEach(member -> requireRegistration(transaction, member));
        String probe = Keys.livenessProbe(node);
        transaction
                .requireRevision(probe, probeRevision)
                .put(Keys.VIEW, ViewChange.evict(view, node, incarnation).toJson())
                .delete(Keys.member(node))
                .delete(probe);
        commit(transaction, done);
    }

    private Transaction replacingCurrentView() {
        return new Transaction().requireRevision(Keys.VIEW, currentView.modRevision());
    }

    private void requireRegistration(Transaction transaction, String node) {
        transaction.requireRevision(Keys.member(node), registry.modRevision(node));
    }

    private void commit(Transaction transaction, Consumer<Boolean> done) {
        proposing = true;
        lastProposal = loop.now();
        store.commit(transaction, CallPriority.LEASE, result -> {
            proposing = false;
            if (result.ok()) {
                replica.applyCommitted(transaction, result.revision());
            }
            done.accept(result.ok());
        });
    }
}
