package org.havenford.coordination.membership;

import java.time.Instant;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.havenford.storage.records.ClusterView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which view is wanted: exactly the registered nodes are members, machines that do not reach their owner are
 * reassigned, and a member that its agents do not reach is cordoned.
 */
final class WantedView {
    private static final Logger LOG = LoggerFactory.getLogger(WantedView.class);

    /** Keeps the view's value within 2 KiB. */
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
     * Asks to reassign to this node a machine that seems unable to reach its owner; a machine is reassigned once for each
     * set of members, or it would be handed round.
     */
    void requestReassignment(String machine) {
        ClusterView view = currentView.view();
        if (requestedReassignments.size() + view.reassigned().size() < MAX_REASSIGNMENTS
                && !view.reassigned().containsKey(machine)) {
            requestedReassignments.put(machine, node);
        }
    }

    /** This member is cordoned, and has found that it reaches agents again. */
    void requestUncordon() {
        uncordonRequested = currentView.view().cordoned().contains(node);
    }

    /** Drops requests that the view in force has met, or that have to be decided anew among other members. */
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
     * Returns the wanted view if it differs from the one in force.
     *
     * @param members the registered nodes with their incarnations
     * @param mayChangeOwners whether the view may change although its members stay the same
     */
    Optional<ClusterView> next(SortedMap<String, Long> members, boolean mayChangeOwners, Instant now) {
        ClusterView view = currentView.view();
        if (!members.equals(view.members())) {
            Optional<String> uncordoned = mayChangeOwners ? requestedUncordon() : Optional.empty();
            return Optional.of(new ViewChange(members, new TreeMap<>(), Optional.empty(), uncordoned).applyTo(view));
        }
        return mayChangeOwners ? withOtherOwners(view, now) : Optional.empty();
    }

    private Optional<ClusterView> withOtherOwners(ClusterView view, Instant now) {
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
        // The version before allowed more, which a smaller limit of values may not: a machine goes back to its
        // hash's owner.
        while (reassignments.size() > MAX_REASSIGNMENTS) {
            reassignments.pollLastEntry();
        }
        return reassignments;
    }
}
