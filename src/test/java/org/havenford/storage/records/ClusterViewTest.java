package org.havenford.storage.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Which member of a view owns a machine. */
class ClusterViewTest {
    private static final int MACHINES = 300;

    /** When a member goes, only its machines move. */
    @Test
    void onlyTheMachinesOfAMemberThatLeavesChangeTheirOwner() {
        TreeMap<String, Long> three = new TreeMap<>(Map.of("a", 1L, "b", 2L, "c", 3L));
        TreeMap<String, Long> two = new TreeMap<>(Map.of("a", 1L, "b", 2L));
        ClusterView before = new ClusterView(1, three, new TreeMap<>(), new TreeSet<>());
        ClusterView after = new ClusterView(2, two, new TreeMap<>(), new TreeSet<>());
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
    void aReassignedMachineReturnsToItsOwnerByHashWhenItsMemberLeaves() {
        TreeMap<String, String> reassigned = new TreeMap<>(Map.of("host-1", "b"));
        assertEquals(
                "b",
                new ClusterView(1, new TreeMap<>(Map.of("a", 1L, "b", 2L)), reassigned, new TreeSet<>())
                        .owner("host-1"));
        assertEquals(
                "a", new ClusterView(2, new TreeMap<>(Map.of("a", 1L)), reassigned, new TreeSet<>()).owner("host-1"));
    }
}
