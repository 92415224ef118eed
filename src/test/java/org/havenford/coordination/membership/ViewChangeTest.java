package org.havenford.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.havenford.storage.records.ClusterView;
import org.junit.jupiter.api.Test;

/** Tests the views that result from view changes and evictions. */
class ViewChangeTest {
    private static final ClusterView CURRENT = new ClusterView(
            4,
            new TreeMap<>(Map.of("node-0", 1L, "node-1", 2L)),
            new TreeMap<>(Map.of("host-1", "node-0")),
            new TreeSet<>(Set.of("node-1")),
            new TreeMap<>(Map.of("node-2", 3L)));

    private static ViewChange change(
            Map<String, Long> members, Optional<String> cordoned, Optional<String> uncordoned) {
        return new ViewChange(new TreeMap<>(members), new TreeMap<>(), cordoned, uncordoned);
    }

    @Test
    void cordonDoesNotApplyToNewIncarnation() {
        ClusterView next = change(Map.of("node-0", 1L, "node-1", 5L), Optional.empty(), Optional.empty())
                .applyTo(CURRENT);
        assertEquals(5, next.epoch());
        assertEquals(Set.of(), next.cordoned());
    }

    @Test
    void cordonsOneMemberAndUncordonsAnother() {
        ClusterView next = change(CURRENT.members(), Optional.of("node-0"), Optional.of("node-1"))
                .applyTo(CURRENT);
        assertEquals(Set.of("node-0"), next.cordoned());
        assertEquals(CURRENT.evicted(), next.evicted());
    }

    @Test
    void rejoinedNodeIsNoLongerListedAsEvicted() {
        ClusterView next = change(Map.of("node-0", 1L, "node-2", 6L), Optional.empty(), Optional.empty())
                .applyTo(CURRENT);
        assertEquals(Map.of(), next.evicted());
    }

    @Test
    void evictionRecordsIncarnationAndDropsReassignments() {
        ClusterView next = ViewChange.evict(CURRENT, "node-1", 2);
        assertEquals(5, next.epoch());
        assertEquals(Map.of("node-0", 1L), next.members());
        assertEquals(Map.of(), next.reassigned());
        assertEquals(Set.of(), next.cordoned());
        assertEquals(Map.of("node-1", 2L, "node-2", 3L), next.evicted());
    }
}
