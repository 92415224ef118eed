package org.havenford.coordination.membership;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import org.havenford.storage.records.ClusterView;

/**
 * Caches the owner of each machine in the current view. Each uncached lookup hashes every member, which is expensive.
 */
final class OwnerCache {
    private static final int MAX_ENTRIES = 20_000;

    private final Object2ObjectOpenHashMap<String, String> owners = new Object2ObjectOpenHashMap<>();

    /** Returns the owner of a machine, or null if the view has no members. */
    String owner(ClusterView view, String machine) {
        String owner = owners.get(machine);
        if (owner == null && !view.members().isEmpty()) {
            if (owners.size() > MAX_ENTRIES) {
                owners.clear();
            }
            owner = view.owner(machine);
            owners.put(machine, owner);
        }
        return owner;
    }

    /** Removes all entries. Must be called whenever the view changes. */
    void clear() {
        owners.clear();
    }
}
