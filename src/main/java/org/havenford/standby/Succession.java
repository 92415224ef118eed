package org.havenford.standby;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.havenford.storage.records.ClusterView;

/**
 * Who stands by for whom. The standby of a machine is its second in rendezvous order, which owns it as soon as the owner has
 * left the view; the leader's duties pass to the next member by name in the same way. Worked out once for each view.
 */
final class Succession {
    private final ClusterView view;
    private final Map<String, String> standbyOf = new HashMap<>();

    Succession(ClusterView view) {
        this.view = view;
    }

    /** The member that owns a machine once its present owner has left, or null if there is no other. */
    String standby(String machine) {
        return standbyOf.computeIfAbsent(machine, view::successor);
    }

    /** Members that have to agree that one can't be reached, the suspect counted as a member. */
    static int majority(ClusterView view) {
        return view.members().size() / 2 + 1;
    }

    /**
     * Members that may take a suspect out of the view, in the order in which they should try: those in other zones first,
     * which the loss of the suspect's zone does not take with it.
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
