package org.havenford.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.SortedMap;
import java.util.function.Consumer;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.MemberRegistration;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps this node's lease and its place in the cluster view, and answers what this node may do under them. The wanted view
 * holds exactly the nodes whose leased key exists; any member whose replica of the store shows a difference proposes it by
 * compare-and-swap.
 */
public final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreReplica replica;
    private final String node;
    private final Duration leaseDuration;
    private final MembershipListener listener;
    private final CurrentView currentView = new CurrentView();
    private final OwnerCache owners = new OwnerCache();
    private final MemberRegistry registry;
    private final ViewVerification verification;
    private final MembershipLease lease;
    private final UnreachableMemberDetector unreachableMembers;
    private final WantedView wantedView;
    private final ViewProposer proposer;

    /** The membership of a node; nothing happens before {@link #start}. */
    public Membership(
            EventLoop loop,
            StoreClient store,
            StoreReplica replica,
            MembershipSettings settings,
            MembershipListener listener) {
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.node = settings.node();
        this.leaseDuration = settings.leaseDuration();
        this.listener = listener;
        registry = new MemberRegistry(settings.configuredNodes());
        verification = new ViewVerification(loop, store, replica, currentView);
        lease = new MembershipLease(loop, store, replica, verification, settings);
        unreachableMembers = new UnreachableMemberDetector(node, listener);
        wantedView = new WantedView(node, currentView, unreachableMembers);
        proposer = new ViewProposer(loop, store, replica, currentView, registry);
    }

    /** Begins to acquire a lease and to register. */
    public void start() {
        lease.acquire();
    }

    /**
     * Whether every controller has been seen with a program that reads the short form of records. None goes back to an
     * older one: a process comes back with the version that it had, or a newer one.
     */
    public boolean allReadShortForm() {
        return registry.allConfiguredSupportPipelines();
    }

    /** Whether all members of the view read evictions, without which they would release tasks too soon. */
    public boolean allSupportEvictions() {
        return registry.allSupportEvictions(currentView.view());
    }

    /** The view in force, as the replica shows it. */
    public ClusterView view() {
        return currentView.view();
    }

    /** Mod revision of the view in force; 0 if no view is stored. */
    public long viewRevision() {
        return currentView.modRevision();
    }

    /** The owner of a machine in the view in force, or null while the view has no members. */
    public String owner(String machine) {
        return owners.owner(currentView.view(), machine);
    }

    /** Store revision that the replica has reached. */
    public long replicaRevision() {
        return replica.revision();
    }

    /** Whether the replica holds all that was written before the view in force. */
    public boolean replicaCoversView() {
        return replica.revision() >= currentView.modRevision();
    }

    /** Duration of the membership lease. */
    public Duration leaseDuration() {
        return leaseDuration;
    }

    /** Whether the membership lease is certain to hold. */
    public boolean holdsLease() {
        return lease.isCertainAt(loop.now());
    }

    /** The incarnation of this node that is in the view, or 0. */
    public long incarnation() {
        return isMember() ? lease.id() : 0;
    }

    private boolean isMember() {
        return lease.isHeld() && currentView.isMember(node, lease.id());
    }

    /** Whether a node's incarnation is in the view. */
    public boolean isMember(String other, long incarnation) {
        return currentView.isMember(other, incarnation);
    }

    /**
     * Whether this node may answer agents. Counted from the sending of the last good renewal, and from the sending of the
     * last comparison that found the view as we hold it and whose store revision the replica has reached: a node whose
     * watch is stuck must not go on under a view that others have replaced, nor keep agents at tasks that others have
     * cancelled.
     */
    public boolean mayAnswerAgents() {
        Instant now = loop.now();
        return lease.isCertainAt(now) && verification.isFresherThan(leaseDuration, now) && isMember();
    }

    /**
     * Whether this node may start tasks as well: its replica was compared so lately that what others have cancelled for
     * longer than a moment is known here. In its staleness window, and in the first seconds afterwards, a node starts
     * nothing.
     */
    public boolean mayStartTasks() {
        return mayAnswerAgents() && replicaIsFresherThan(leaseDuration.dividedBy(2));
    }

    /** Whether the replica of the store holds all that was committed until so long ago. */
    public boolean replicaIsFresherThan(Duration age) {
        return verification.isFresherThan(age, loop.now());
    }

    /**
     * This process was paused: it acts on nothing that it held before. It may act again once a comparison that was sent
     * from now on agrees, and judges its peers once agents have had time to find their owners again.
     */
    public void processPaused() {
        Instant now = loop.now();
        verification.processPaused(now);
        unreachableMembers.restart(now);
        wantedView.clearRequests();
        compareView();
    }

    private void compareView() {
        if (lease.isRegistered()) {
            verification.compareWithStore();
        }
    }

    /** A registration has changed; {@code registration} is null if it is gone. */
    public void memberChanged(String member, MemberRegistration registration, long modRevision) {
        registry.registrationChanged(member, registration, modRevision);
    }

    /** The stored view has changed; {@code stored} is null if it is gone. */
    public void viewChanged(ClusterView stored, long modRevision) {
        try {
            ClusterView next = stored == null ? ClusterView.empty() : stored;
            long currentEpoch = currentView.view().epoch();
            if (next.epoch() < currentEpoch) {
                LOG.error("the stored view has an older epoch: epoch={} currentEpoch={}", next.epoch(), currentEpoch);
                return;
            }
            install(next, stored == null ? 0 : modRevision);
            listener.viewChanged();
        } catch (RuntimeException e) {
            LOG.error("the stored view cannot be applied", e);
        }
    }

    private void install(ClusterView view, long modRevision) {
        currentView.replace(view, modRevision);
        owners.clear();
        unreachableMembers.restart(loop.now());
        verification.viewChanged();
        LOG.info(
                "view changed: epoch={} members={} reassignedMachines={} cordoned={}",
                view.epoch(),
                view.members(),
                view.reassigned().size(),
                view.cordoned());
        store.divideBudgetAmong(view.members().size());
        wantedView.viewChanged();
        compareView();
        if (lease.isHeld() && view.wasEvicted(node, lease.id())) {
            lease.rejoinAfterEviction();
        }
    }

    /** Asks to reassign to this node a machine that seems unable to reach its owner. */
    public void requestReassignment(String machine) {
        wantedView.requestReassignment(machine);
    }

    /** A heartbeat of a machine came here although another member owns the machine. */
    public void recordMisdirectedHeartbeat(String machine, String owner) {
        unreachableMembers.recordMisdirectedHeartbeat(machine, owner, loop.now());
    }

    /** This member is cordoned, and has found that it reaches agents again. */
    public void requestUncordon() {
        wantedView.requestUncordon();
    }

    /**
     * Proposes a view without a member whose lease may still run, provided that the member has not removed the liveness
     * probe of the given mod revision meanwhile; tells whether the view was committed.
     */
    void evict(String member, long incarnation, long probeRevision, Consumer<Boolean> done) {
        if (!isMember(member, incarnation) || proposer.isProposing() || !allSupportEvictions()) {
            done.accept(false);
            return;
        }
        proposer.evict(member, incarnation, probeRevision, done);
    }

    /** One turn of the loop: proposes the wanted view if it differs from the one in force. */
    public void step() {
        if (!replica.loaded() || !lease.isRegistered() || !holdsLease() || proposer.isProposing()) {
            return;
        }
        SortedMap<String, Long> registered = registry.incarnations();
        Long ownIncarnation = registered.get(node);
        if (ownIncarnation == null || ownIncarnation != lease.id()) {
            // The registration of a former incarnation, carried out again, has taken our key and goes with the lease of
            // that incarnation.
            // registered-by-a-former-life.trace
            lease.registerAgain();
            return;
        }
        Instant now = loop.now();
        wantedView.next(registered, proposer.intervalHasPassed(now), now).ifPresent(proposer::propose);
    }
}
