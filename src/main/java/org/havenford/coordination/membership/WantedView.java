package org.havenford.coordination.membership;

import java.time.Instant;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.havenford.storage.records.ClusterView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Computes the wanted view: exactly the registered nodes are members, machines that cannot reach their owner are
 * reassigned, and a member that its agents cannot reach is cordoned.
 */
final class WantedView {
    private static final Logger LOG = LoggerFactory.getLogger(WantedView.class);

    /** Limits the size of the stored view to 2 KiB. */
    private static final int MAX_REASSIGNMENTS = 40;

    private final String node;
    private final CurrentView currentView;
    private final UnreachableMemberDetector unreachableMembers;
    private final TreeMap<String, String> requestedReassignments = new TreeMap<>();
    private boolean uncordonRequested;

    WantedView(String node, CurrentView currentView, UnreachableMemberDetector unreachableMembers) {
        this.node = node;
        this.currentView = currentView;
        this.unreachableMembers = unreachableMembers;
    }

    /**
     * Requests the reassignment to this node of a machine that apparently cannot reach its owner. A machine is
     * reassigned only once until the members change; otherwise it could be passed between members repeatedly.
     */
    void requestReassignment(String machine) {
        ClusterView view = currentView.view();
        if (requestedReassignments.size() + view.reassigned().size() < MAX_REASSIGNMENTS
                && !view.reassigned().containsKey(machine)) {
            requestedReassignments.put(machine, node);
        }
    }

    /** Requests to uncordon this node, which can reach agents again. Has no effect if the node is not cordoned. */
    void requestUncordon() {
        uncordonRequested = currentView.view().cordoned().contains(node);
    }

    /**
     * Drops the requests that are obsolete in the current view: fulfilled ones, and those for machines it reassigns.
     */
    void viewChanged() {
        ClusterView view = currentView.view();
        uncordonRequested &= view.cordoned().contains(node);
        requestedReassignments
                .keySet()
                .removeIf(machine -> view.reassigned().containsKey(machine) || node.equals(view.owner(machine)));
    }

    /** Drops all requests. */
    void clearRequests() {
        requestedReassignments.clear();
        uncordonRequested = false;
    }

    /**
     * Returns the wanted view if it differs from the current one.
     *
     * @param members the registered nodes and their incarnations
     * @param mayChangeOwners whether requests and cordons are applied; if false, only the members may change
     */
    Optional<ClusterView> nextView(SortedMap<String, Long> members, boolean mayChangeOwners, Instant now) {
        ClusterView view = currentView.view();
        if (!members.equals(view.members())) {
            Optional<String> uncordoned = mayChangeOwners ? requestedUncordon() : Optional.empty();
            return Optional.of(new ViewChange(members, new TreeMap<>(), Optional.empty(), uncordoned).applyTo(view));
        }
        return mayChangeOwners ? withOwnerChanges(view, now) : Optional.empty();
    }

    private Optional<ClusterView> withOwnerChanges(ClusterView view, Instant now) {
        Optional<String> unreachable = unreachableMembers.unreachableMember(view, now);
        if (requestedReassignments.isEmpty() && !uncordonRequested && unreachable.isEmpty()) {
            return Optional.empty();
        }
        unreachable.ifPresent(member -> LOG.info("agents cannot reach a member, it is cordoned: member={}", member));
        ViewChange change = new ViewChange(view.members(), reassignments(view), unreachable, requestedUncordon());
        return Optional.of(change.applyTo(view));
    }

    private Optional<String> requestedUncordon() {
        return uncordonRequested ? Optional.of(node) : Optional.empty();
    }

    private SortedMap<String, String> reassignments(ClusterView view) {
        TreeMap<String, String> reassignments = new TreeMap<>(view.reassigned());
        reassignments.putAll(requestedReassignments);
        // The previous version allowed more entries, which may exceed a lower value size limit. Dropped machines return
        // to the owner given by their hash.
        while (reassignments.size() > MAX_REASSIGNMENTS) {
            reassignments.pollLastEntry();
        }
        return reassignments;
    }
}
