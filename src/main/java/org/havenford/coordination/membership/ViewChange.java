package org.havenford.coordination.membership;

import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.havenford.storage.records.ClusterView;

/**
 * A change to the cluster view, computed without side effects.
 *
 * @param members the members of the new view and their incarnations
 * @param reassignments the owners of reassigned machines, by machine
 * @param cordoned the member to cordon, if any
 * @param uncordoned the member to uncordon, if any
 */
record ViewChange(
        SortedMap<String, Long> members,
        SortedMap<String, String> reassignments,
        Optional<String> cordoned,
        Optional<String> uncordoned) {

    /** Returns the view that results from applying this change to {@code current}. */
    ClusterView applyTo(ClusterView current) {
        TreeSet<String> nextCordoned = new TreeSet<>(current.cordoned());
        // A new incarnation of a cordoned node is not cordoned.
        nextCordoned.removeIf(
                node -> !Objects.equals(members.get(node), current.members().get(node)));
        uncordoned.ifPresent(nextCordoned::remove);
        cordoned.ifPresent(nextCordoned::add);
        TreeMap<String, Long> nextEvicted = new TreeMap<>(current.evicted());
        nextEvicted.keySet().removeAll(members.keySet());
        return new ClusterView(
                current.epoch() + 1, new TreeMap<>(members), new TreeMap<>(reassignments), nextCordoned, nextEvicted);
    }

    /** Returns the view without an evicted member. All reassignments are dropped. */
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
