package org.havenford.standby;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.havenford.storage.records.ClusterView;

/**
 * Assignment of standbys to machines in one view. The standby of a machine is the second member in its rendezvous hash
 * order, which owns the machine once the current owner has left the view. The role of the leader passes to the next
 * member by name in the same way. Standbys are computed on demand and cached for the lifetime of the view.
 */
final class Succession {
    private final ClusterView view;
    private final Map<String, String> standbyByMachine = new HashMap<>();

    Succession(ClusterView view) {
        this.view = view;
    }

    /** Returns the member that owns a machine once its current owner has left the view, or null if there is no other. */
    String standbyOf(String machine) {
        return standbyByMachine.computeIfAbsent(machine, view::successor);
    }

    /** Returns how many members must be unable to reach a suspect; the suspect counts as a member of the view. */
    static int majority(ClusterView view) {
        return view.members().size() / 2 + 1;
    }

    /**
     * Returns the members that may evict a suspect, in the order in which they should try. Members in other zones come
     * first, because a failure of the suspect's zone does not affect them.
     */
    static List<String> evictionOrder(ClusterView view, String suspect, UnaryOperator<String> zoneOf) {
        List<String> others = new ArrayList<>(view.members().keySet());
        others.remove(suspect);
        String zone = zoneOf.apply(suspect);
        others.sort(Comparator.comparing((String node) -> zoneOf.apply(node).equals(zone))
                .thenComparing(Comparator.naturalOrder()));
        return others;
    }
}
