package org.havenford.coordination.membership;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.MemberRegistration;

/** The registrations of the members as the replica shows them, and the formats of stored values that each supports. */
final class MemberRegistry {
    private static final int FORMAT_WITH_PIPELINES = 2;
    /** From this format on, a view may name members that were evicted. */
    private static final int FORMAT_WITH_EVICTIONS = 3;
    /** What this program reads and writes. */
    static final int CURRENT_FORMAT = 3;

    /** A registration with the mod revision of its key. */
    private record StoredRegistration(MemberRegistration value, long modRevision) {}

    private final Set<String> configuredNodes;
    private final TreeMap<String, StoredRegistration> registrations = new TreeMap<>();
    /** Controllers that have been seen to read pipelines. */
    private final Set<String> nodesWithPipelines = new HashSet<>();

    MemberRegistry(Set<String> configuredNodes) {
        this.configuredNodes = configuredNodes;
    }

    /** Takes in a changed registration; {@code registration} is null if it is gone. */
    void registrationChanged(String node, MemberRegistration registration, long modRevision) {
        if (registration == null) {
            registrations.remove(node);
            return;
        }
        registrations.put(node, new StoredRegistration(registration, modRevision));
        if (registration.format() >= FORMAT_WITH_PIPELINES) {
            nodesWithPipelines.add(node);
        }
    }

    /** Returns the incarnations of the registered nodes by name. */
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
     * Whether every configured controller has been seen with a program that reads pipelines. None goes back to an older
     * one: a process comes back with the version that it had, or a newer one.
     */
    boolean allConfiguredSupportPipelines() {
        return nodesWithPipelines.containsAll(configuredNodes);
    }

    /** Whether all members of a view read evictions, without which they would release tasks too soon. */
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
