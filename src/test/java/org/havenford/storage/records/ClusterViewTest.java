package org.havenford.storage.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests which member of a view owns a machine. */
class ClusterViewTest {
    private static final int MACHINES = 300;

    /** Guards against a hash under which machines of the remaining members change their owner too. */
    @Test
    void onlyMachinesOfALeavingMemberChangeOwner() {
        TreeMap<String, Long> threeMembers = new TreeMap<>(Map.of("a", 1L, "b", 2L, "c", 3L));
        TreeMap<String, Long> twoMembers = new TreeMap<>(Map.of("a", 1L, "b", 2L));
        ClusterView before = new ClusterView(1, threeMembers, new TreeMap<>(), new TreeSet<>());
        ClusterView after = new ClusterView(2, twoMembers, new TreeMap<>(), new TreeSet<>());
        int reassigned = 0;
        for (int i = 0; i < MACHINES; i++) {
            String machine = String.format("host-%06d", i);
            if (before.owner(machine).equals("c")) {
                reassigned++;
            } else {
                assertEquals(before.owner(machine), after.owner(machine));
            }
        }
        assertTrue(reassigned > 60 && reassigned < 140, reassigned + " of " + MACHINES);
    }

    @Test
    void reassignedMachineReturnsToItsHashOwnerWhenItsNewOwnerLeaves() {
        TreeMap<String, String> reassigned = new TreeMap<>(Map.of("host-1", "b"));
        assertEquals(
                "b",
                new ClusterView(1, new TreeMap<>(Map.of("a", 1L, "b", 2L)), reassigned, new TreeSet<>())
                        .owner("host-1"));
        assertEquals(
                "a", new ClusterView(2, new TreeMap<>(Map.of("a", 1L)), reassigned, new TreeSet<>()).owner("host-1"));
    }
}
