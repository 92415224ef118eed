package org.havenford.coordination.membership;

import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.havenford.storage.records.ClusterView;

/**
 * A change of the cluster view, without the effects of committing it.
 *
 * @param members the wanted members with their incarnations
 * @param reassignments the wanted owners of machines that are reassigned
 * @param cordoned the member to cordon
 * @param uncordoned the member to uncordon
 */
record ViewChange(
        SortedMap<String, Long> members,
        SortedMap<String, String> reassignments,
        Optional<String> cordoned,
        Optional<String> uncordoned) {

    /** Returns the view after the change. */
    ClusterView applyTo(ClusterView current) {
        TreeSet<String> nextCordoned = new TreeSet<>(current.cordoned());
        // Another incarnation of a node starts afresh.
        nextCordoned.removeIf(
                node -> !Objects.equals(members.get(node), current.members().get(node)));
        uncordoned.ifPresent(nextCordoned::remove);
        cordoned.ifPresent(nextCordoned::add);
        TreeMap<String, Long> nextEvicted = new TreeMap<>(current.evicted());
        nextEvicted.keySet().removeAll(members.keySet());
        return new ClusterView(
                current.epoch() + 1, new TreeMap<>(members), new TreeMap<>(reassignments), nextCordoned, nextEvicted);
    }

    /** Returns the view after a member was evicted: nothing stays reassigned. */
    static ClusterView evict(ClusterView current, String node, long incarnation) {
        TreeMap<String, Long> remaining = new TreeMap<>(current.members());
        remaining.remove(node);
        TreeSet<String> nextCordoned = new TreeSet<>(current.cordoned());
        nextCordoned.remove(node);
        TreeMap<String, Long> nextEvicted = new TreeMap<>(current.evicted());
        nextEvicted.put(node, incarnation);
        return new ClusterView(current.epoch() + 1, remaining, new TreeMap<>(), nextCordoned, nextEvicted);
    }
}
