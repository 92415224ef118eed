package org.havenford.coordination.membership;

import org.havenford.storage.records.ClusterView;

/** The current cluster view and the mod revision of its key, shared by the classes of this package. */
final class CurrentView {
    private ClusterView view = ClusterView.empty();
    private long modRevision;

    /** Replaces the view. A mod revision of 0 means that the key does not exist. */
    void replace(ClusterView newView, long newModRevision) {
        view = newView;
        modRevision = newModRevision;
    }

    ClusterView view() {
        return view;
    }

    long modRevision() {
        return modRevision;
    }

    /** Returns whether the key of the view exists in the store. */
    boolean isStored() {
        return modRevision > 0;
    }

    /** Returns whether this incarnation of the node is a member of the view. */
    boolean isMember(String node, long incarnation) {
        Long current = view.members().get(node);
        return current != null && current == incarnation;
    }
}
