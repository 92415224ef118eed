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
 * Maintains this node's lease and its membership in the cluster view, and decides what this node may do under them. The
 * wanted view contains exactly the nodes whose leased key exists. Any member whose replica of the store shows a view
 * that differs from it proposes the wanted view by compare-and-swap.
 */
public final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

    private static final long UNKNOWN_AGE = -1;

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreReplica replica;
    private final String node;
    private final Duration leaseDuration;
    private final MembershipListener listener;
    private final CurrentView currentView = new CurrentView();
    private final OwnerCache ownerCache = new OwnerCache();
    private final FormerOwners formerOwners;
    private final MemberRegistry registry;
    private final ViewVerification verification;
    private final MembershipLease lease;
    private final UnreachableMemberDetector unreachableMembers;
    private final WantedView wantedView;
    private final ViewProposer proposer;

    /** Creates the membership of a node, which stays inactive until {@link #start} is called. */
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
        formerOwners = new FormerOwners(node, settings.longestLeaseDuration());
        registry = new MemberRegistry(settings.configuredNodes());
        verification = new ViewVerification(loop, store, replica, currentView);
        lease = new MembershipLease(loop, store, replica, verification, settings);
        unreachableMembers = new UnreachableMemberDetector(node, listener);
        wantedView = new WantedView(node, currentView, unreachableMembers);
        proposer = new ViewProposer(loop, store, replica, currentView, registry);
    }

    /** Starts to acquire a lease and to register this node. */
    public void start() {
        lease.acquire();
    }

    /**
     * Returns whether every configured controller has been observed with a version that reads the compact form of
     * records. Controllers are never downgraded: a process restarts with the same version or a newer one.
     */
    public boolean allSupportCompactForm() {
        return registry.allConfiguredSupportPipelines();
    }

    /**
     * Returns whether all members of the current view support evictions. A member that does not would assume that the
     * lease of an evicted member has expired, and would release that member's tasks too soon.
     */
    public boolean allSupportEvictions() {
        return registry.allSupportEvictions(currentView.view());
    }

    /** Returns the current view according to the replica. */
    public ClusterView view() {
        return currentView.view();
    }

    /** Returns the mod revision of the current view, or 0 if no view is stored. */
    public long viewRevision() {
        return currentView.modRevision();
    }

    /** Returns the owner of a machine in the current view, or null if the view has no members. */
    public String owner(String machine) {
        return ownerCache.owner(currentView.view(), machine);
    }

    /**
     * Returns the latest time at which a former owner of a machine can renew the lease of its agent. Valid for machines
     * that the current view has just given to another owner.
     */
    public Instant latestRenewalByFormerOwner(String machine) {
        return formerOwners.latestRenewal(machine, loop.now());
    }

    /** Returns the latest time at which any other controller can renew the lease of an agent that this one owns. */
    public Instant latestRenewalByAnyOwner() {
        return formerOwners.latestRenewalByAnyOwner(loop.now());
    }

    /** Returns the store revision that the replica has reached. */
    public long replicaRevision() {
        return replica.revision();
    }

    /** Returns whether the replica contains everything that was written before the current view. */
    public boolean replicaCoversView() {
        return replica.revision() >= currentView.modRevision();
    }

    /** Returns whether the membership lease is guaranteed to be valid now. */
    public boolean holdsLease() {
        return lease.isValidAt(loop.now());
    }

    /** Returns the incarnation of this node, or 0 if it is not a member of the current view. */
    public long incarnation() {
        return isMember() ? lease.id() : 0;
    }

    private boolean isMember() {
        return lease.isHeld() && currentView.isMember(node, lease.id());
    }

    /** Returns whether this incarnation of a node is a member of the current view. */
    public boolean isMember(String member, long incarnation) {
        return currentView.isMember(member, incarnation);
    }

    /**
     * Returns whether this node may answer agents: its lease is valid, it is a member of the current view, and this
     * view was verified within the lease duration. Both periods start when the request was sent: the last successful
     * renewal, and the last comparison that found the same view in the store and whose store revision the replica has
     * reached. The verification stops a node whose watch is stuck from acting under a view that other members have
     * replaced, and from keeping agents on tasks that other members have cancelled.
     */
    public boolean mayAnswerAgents() {
        Instant now = loop.now();
        return lease.isValidAt(now) && verification.isReplicaFresherThan(leaseDuration, now) && isMember();
    }

    /**
     * Returns whether this node may also start tasks. The view must have been verified within half the lease duration,
     * so that the replica contains all but the most recent cancellations by other members. A node with a stale replica
     * therefore starts no tasks until the replica has confirmed a recent comparison.
     */
    public boolean mayStartTasks() {
        return mayAnswerAgents() && isReplicaFresherThan(leaseDuration.dividedBy(2));
    }

    /** Returns whether the replica is guaranteed to contain everything that was committed up to {@code age} ago. */
    public boolean isReplicaFresherThan(Duration age) {
        return verification.isReplicaFresherThan(age, loop.now());
    }

    /** Returns how long ago the replica is known to have been complete, in milliseconds, or -1 if that is unknown. */
    public long replicaAgeMillis() {
        Duration age = verification.replicaAge(loop.now());
        return age == null ? UNKNOWN_AGE : age.toMillis();
    }

    /**
     * Discards what was known before a pause of this process. The node may act again after a comparison sent from now
     * on has succeeded. It evaluates the reachability of other members only after agents have had time to find their
     * owners again.
     */
    public void processPaused() {
        Instant now = loop.now();
        verification.processPaused(now);
        unreachableMembers.reset(now);
        wantedView.clearRequests();
        compareView();
    }

    private void compareView() {
        if (lease.isRegistered()) {
            verification.compareWithStore();
        }
    }

    /** Handles a changed registration; {@code registration} is null if the key was deleted. */
    public void registrationChanged(String member, MemberRegistration registration, long modRevision) {
        Long formerIncarnation = registry.incarnations().get(member);
        registry.registrationChanged(member, registration, modRevision);
        // While all keys are read again, another incarnation may have been registered in between.
        if (registration == null && formerIncarnation != null && replica.loaded()) {
            formerOwners.leaseExpired(formerIncarnation);
        }
    }

    /** Handles a change of the stored view; {@code stored} is null if the key was deleted. */
    public void viewChanged(ClusterView stored, long modRevision) {
        try {
            ClusterView next = stored == null ? ClusterView.empty() : stored;
            long currentEpoch = currentView.view().epoch();
            if (next.epoch() < currentEpoch) {
                LOG.error("the stored view has an older epoch: epoch={} currentEpoch={}", next.epoch(), currentEpoch);
                return;
            }
            installView(next, stored == null ? 0 : modRevision);
            listener.viewChanged();
        } catch (RuntimeException e) {
            LOG.error("the stored view cannot be applied", e);
        }
    }

    private void installView(ClusterView view, long modRevision) {
        formerOwners.viewReplaced(currentView.view(), view, loop.now());
        currentView.replace(view, modRevision);
        ownerCache.clear();
        unreachableMembers.reset(loop.now());
        verification.viewChanged();
        LOG.info(
                "view changed: epoch={} revision={} members={} reassignedMachines={} cordoned={}",
                view.epoch(),
                modRevision,
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

    /** Requests the reassignment to this node of a machine that apparently cannot reach its owner. */
    public void requestReassignment(String machine) {
        wantedView.requestReassignment(machine);
    }

    /** Records that this node received a heartbeat of a machine that another member owns. */
    public void recordMisdirectedHeartbeat(String machine, String owner) {
        unreachableMembers.recordMisdirectedHeartbeat(machine, owner, loop.now());
    }

    /** Requests to uncordon this node, which can reach agents again. Has no effect if the node is not cordoned. */
    public void requestUncordon() {
        wantedView.requestUncordon();
    }

    /**
     * Proposes a view without a member whose lease may still be valid. The proposal fails if the member has deleted the
     * liveness probe.
     *
     * @param probeRevision the mod revision of the unanswered probe
     * @param callback receives whether the view was committed
     */
    void evict(String member, long incarnation, long probeRevision, Consumer<Boolean> callback) {
        if (!isMember(member, incarnation) || proposer.isProposing() || !allSupportEvictions()) {
            callback.accept(false);
            return;
        }
        proposer.evict(member, incarnation, probeRevision, callback);
    }

    /** Proposes the wanted view if it differs from the current one. Called in each round of the controller. */
    public void step() {
        if (!replica.loaded() || !lease.isRegistered() || !holdsLease() || proposer.isProposing()) {
            return;
        }
        SortedMap<String, Long> registeredIncarnations = registry.incarnations();
        Long ownIncarnation = registeredIncarnations.get(node);
        if (ownIncarnation == null || ownIncarnation != lease.id()) {
            // A repeated registration request of a former incarnation has overwritten this node's key, which would be
            // deleted when the lease of that incarnation expires. See registered-by-a-former-life.trace.
            lease.registerAgain();
            return;
        }
        Instant now = loop.now();
        wantedView
                .nextView(registeredIncarnations, proposer.minIntervalElapsed(now), now)
                .ifPresent(proposer::propose);
    }
}
