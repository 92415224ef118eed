package org.havenford.coordination.membership;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.MemberRegistration;

/** The registrations of the members in the replica, and the formats of stored values that each member supports. */
final class MemberRegistry {
    private static final int FORMAT_WITH_PIPELINES = 2;
    /** First format in which a view lists evicted members. */
    private static final int FORMAT_WITH_EVICTIONS = 3;
    /** The newest format that this version reads and writes. */
    static final int CURRENT_FORMAT = 3;

    /** A registration and the mod revision of its key. */
    private record StoredRegistration(MemberRegistration value, long modRevision) {}

    private final Set<String> configuredNodes;
    private final TreeMap<String, StoredRegistration> registrations = new TreeMap<>();
    /** Nodes that have been observed with a format that includes pipelines. */
    private final Set<String> nodesSupportingPipelines = new HashSet<>();

    MemberRegistry(Set<String> configuredNodes) {
        this.configuredNodes = configuredNodes;
    }

    /** Handles a changed registration; {@code registration} is null if the key was deleted. */
    void registrationChanged(String node, MemberRegistration registration, long modRevision) {
        if (registration == null) {
            registrations.remove(node);
            return;
        }
        registrations.put(node, new StoredRegistration(registration, modRevision));
        if (registration.format() >= FORMAT_WITH_PIPELINES) {
            nodesSupportingPipelines.add(node);
        }
    }

    /** Returns the incarnations of the registered nodes, by node name. */
    SortedMap<String, Long> incarnations() {
        SortedMap<String, Long> incarnations = new TreeMap<>();
        registrations.forEach((node, registration) ->
                incarnations.put(node, registration.value().incarnation()));
        return incarnations;
    }

    /** Returns the mod revision of a node's registration, or 0 if the node is not registered. */
    long modRevision(String node) {
        StoredRegistration registration = registrations.get(node);
        return registration == null ? 0 : registration.modRevision();
    }

    /**
     * Returns whether every configured node has been observed with a format that includes pipelines. Nodes are never
     * downgraded: a process restarts with the same version or a newer one.
     */
    boolean allConfiguredSupportPipelines() {
        return nodesSupportingPipelines.containsAll(configuredNodes);
    }

    /**
     * Returns whether all members of a view support evictions. A member that does not would assume that the lease of an
     * evicted member has expired, and would release that member's tasks too soon.
     */
    boolean allSupportEvictions(ClusterView view) {
        for (Map.Entry<String, Long> member : view.members().entrySet()) {
            StoredRegistration registration = registrations.get(member.getKey());
            if (registration == null
                    || registration.value().incarnation() != member.getValue()
                    || registration.value().format() < FORMAT_WITH_EVICTIONS) {
                return false;
            }
        }
        return true;
    }
}
