package org.havenford.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.havenford.storage.records.ClusterView;
import org.junit.jupiter.api.Test;

/**
 * Tests when a member is reported as unreachable for its agents. Each of the three members owns 16 machines; this node is
 * node-0.
 */
class UnreachableMemberDetectorTest {
    private static final Instant VIEW_CHANGED = Instant.EPOCH;
    private static final Instant STABLE = VIEW_CHANGED.plusSeconds(12);
    private static final ClusterView VIEW = new ClusterView(
            1, new TreeMap<>(Map.of("node-0", 1L, "node-1", 2L, "node-2", 3L)), new TreeMap<>(), new TreeSet<>());

    private final UnreachableMemberDetector detector =
            new UnreachableMemberDetector("node-0", new MembershipListener() {
                @Override
                public void viewChanged() {}

                @Override
                public int ownedMachineCount(String node) {
                    return 16;
                }
            });

    UnreachableMemberDetectorTest() {
        detector.reset(VIEW_CHANGED);
    }

    private void recordMisdirectedHeartbeats(String owner, int machines, Instant at) {
        for (int i = 0; i < machines; i++) {
            detector.recordMisdirectedHeartbeat(owner + "-machine-" + i, owner, at);
        }
    }

    @Test
    void detectsMemberWithSeveralMisdirectedAgents() {
        recordMisdirectedHeartbeats("node-1", 2, STABLE);
        assertEquals(Optional.of("node-1"), detector.unreachableMember(VIEW, STABLE));
    }

    @Test
    void ignoresSingleMisdirectedAgent() {
        recordMisdirectedHeartbeats("node-1", 1, STABLE);
        assertEquals(Optional.empty(), detector.unreachableMember(VIEW, STABLE));
    }

    @Test
    void detectsNothingDuringStabilizationPeriod() {
        recordMisdirectedHeartbeats("node-1", 4, STABLE.minusMillis(1));
        assertEquals(Optional.empty(), detector.unreachableMember(VIEW, STABLE.minusMillis(1)));
    }

    @Test
    void detectsNothingIfAgentsOfTwoMembersAreMisdirected() {
        recordMisdirectedHeartbeats("node-1", 4, STABLE);
        recordMisdirectedHeartbeats("node-2", 2, STABLE);
        assertEquals(Optional.empty(), detector.unreachableMember(VIEW, STABLE));
    }

    @Test
    void ignoresHeartbeatsOutsideMisdirectionWindow() {
        recordMisdirectedHeartbeats("node-1", 4, STABLE);
        assertEquals(Optional.of("node-1"), detector.unreachableMember(VIEW, STABLE.plusSeconds(8)));
        assertEquals(Optional.empty(), detector.unreachableMember(VIEW, STABLE.plusMillis(8001)));
    }

    @Test
    void neverReportsOnlyActiveMember() {
        ClusterView onlyOneActive =
                new ClusterView(2, VIEW.members(), new TreeMap<>(), new TreeSet<>(Set.of("node-0", "node-2")));
        recordMisdirectedHeartbeats("node-1", 4, STABLE);
        assertEquals(Optional.empty(), detector.unreachableMember(onlyOneActive, STABLE));
    }
}
