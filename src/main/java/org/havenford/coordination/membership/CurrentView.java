package org.havenford.coordination.membership;

import org.havenford.storage.records.ClusterView;

/** The cluster view in force with the mod revision of its key, shared by the parts of the membership. */
final class CurrentView {
    private ClusterView view = ClusterView.empty();
    private long modRevision;

    /** Replaces the view; a mod revision of 0 means that the key does not exist. */
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

    /** Whether the key of the view exists. */
    boolean isStored() {
        return modRevision > 0;
    }

    /** Whether a node's incarnation is in the view. */
    boolean isMember(String node, long incarnation) {
        Long current = view.members().get(node);
        return current != null && current == incarnation;
    }
}
