package org.havenford.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.havenford.settings.PlatformSettings;
import org.havenford.settings.StandbySettings;
import org.havenford.standby.PeerMessage.ReachabilityAnswer;
import org.havenford.storage.records.ClusterView;
import org.junit.jupiter.api.Test;

/** Checks the conditions for the eviction of a suspect, and that an eviction is retried when the view changes. */
class FailoverCoordinatorTest {
    private static final long INCARNATION = 7;
    private static final Duration PROBE_WINDOW = Duration.ofMillis(500);

    /** Records the calls of the coordinator, and fails the given number of evictions. */
    private static final class Host extends FakeHost {
        private final List<String> calls = new ArrayList<>();
        private int evictionFailures;
        private boolean probeUnanswered = true;

        @Override
        public ClusterView view() {
            TreeMap<String, Long> members = new TreeMap<>(Map.of("node-0", 3L, "node-1", 5L, "node-2", INCARNATION));
            return new ClusterView(4, members, new TreeMap<>(), new TreeSet<>());
        }

        @Override
        public void createLivenessProbe(String node, long incarnation, LongConsumer created) {
            calls.add("probe " + node);
            created.accept(11);
        }

        @Override
        public boolean isProbeUnanswered(String node, long probeRevision) {
            return probeUnanswered;
        }

        @Override
        public void withdrawProbe(String node, long probeRevision) {
            calls.add("withdraw " + node);
        }

        @Override
        public void evict(String node, long incarnation, long probeRevision, Consumer<Boolean> done) {
            calls.add("evict " + node);
            done.accept(evictionFailures-- <= 0);
        }
    }

    private final Host host = new Host();
    private boolean suspected = true;
    private final Map<String, PeerLink> links =
            new TreeMap<>(Map.of("node-1", link("node-1"), "node-2", link("node-2")));
    private final FailoverCoordinator failoverCoordinator = new FailoverCoordinator(
            host,
            (node, incarnation) -> suspected && node.equals("node-2") && incarnation == INCARNATION,
            "node-0",
            PROBE_WINDOW,
            node -> "a",
            links);

    private PeerLink link(String node) {
        return new PeerLink(
                host,
                null,
                new PlatformSettings.Peer(node, "a", "10.0.0.9:1"),
                "node-0",
                StandbySettings.OFF,
                new DecisionLog(),
                (from, message) -> {},
                () -> {});
    }

    private void confirmByMajority() {
        failoverCoordinator.step();
        failoverCoordinator.handleAnswer(links.get("node-1"), new ReachabilityAnswer("node-2", INCARNATION, false));
    }

    private void passProbeWindow() {
        host.loop.advance(PROBE_WINDOW.plusMillis(10));
        failoverCoordinator.step();
    }

    @Test
    void memberIsEvictedAfterMajorityAndUnansweredProbe() {
        failoverCoordinator.step();
        passProbeWindow();
        assertEquals(List.of(), host.calls, "one of three members is not a majority");
        confirmByMajority();
        assertEquals(List.of("probe node-2"), host.calls);
        failoverCoordinator.step();
        assertEquals(List.of("probe node-2"), host.calls, "the probe window has not passed");
        passProbeWindow();
        assertEquals(List.of("probe node-2", "evict node-2"), host.calls);
    }

    @Test
    void memberThatIsReachableAgainIsNotEvicted() {
        confirmByMajority();
        suspected = false;
        passProbeWindow();
        assertEquals(List.of("probe node-2", "withdraw node-2"), host.calls);
    }

    /**
     * Guards against a fault seen on the loopback network: a reassignment of machines changed the view, the eviction failed,
     * and the next probe could only be created seconds later.
     */
    @Test
    void evictionIsRetriedWithTheSameProbeAfterViewChange() {
        host.evictionFailures = 1;
        confirmByMajority();
        passProbeWindow();
        failoverCoordinator.step();
        assertEquals(List.of("probe node-2", "evict node-2", "evict node-2"), host.calls);
    }

    @Test
    void answeredProbeEndsTheEviction() {
        host.evictionFailures = 1;
        host.probeUnanswered = false;
        confirmByMajority();
        passProbeWindow();
        assertEquals(List.of("probe node-2", "evict node-2"), host.calls);
    }
}
