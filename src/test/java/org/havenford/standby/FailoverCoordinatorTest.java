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

/** From a suspicion to a verdict: whom it takes, and what happens when the view changes on the way. */
class FailoverCoordinatorTest {
    private static final long INCARNATION = 7;
    private static final Duration WINDOW = Duration.ofMillis(500);

    /** A host that keeps what it was asked, and fails as many evictions as it is told to. */
    private static final class Host extends FakeHost {
        private final List<String> asked = new ArrayList<>();
        private int failures;
        private boolean stands = true;

        @Override
        public ClusterView view() {
            TreeMap<String, Long> members = new TreeMap<>(Map.of("node-0", 3L, "node-1", 5L, "node-2", INCARNATION));
            return new ClusterView(4, members, new TreeMap<>(), new TreeSet<>());
        }

        @Override
        public void probe(String node, long incarnation, LongConsumer stamp) {
            asked.add("challenge " + node);
            stamp.accept(11);
        }

        @Override
        public boolean probeIsUnanswered(String node, long stamp) {
            return stands;
        }

        @Override
        public void withdrawProbe(String node, long stamp) {
            asked.add("withdraw " + node);
        }

        @Override
        public void evict(String node, long incarnation, long challengeStamp, Consumer<Boolean> done) {
            asked.add("evict " + node);
            done.accept(failures-- <= 0);
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
            WINDOW,
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

    private void majorityAgrees() {
        failoverCoordinator.step();
        failoverCoordinator.handleAnswer(links.get("node-1"), new ReachabilityAnswer("node-2", INCARNATION, false));
    }

    private void windowPasses() {
        host.loop.advance(WINDOW.plusMillis(10));
        failoverCoordinator.step();
    }

    @Test
    void aMajorityAndAnUnansweredQuestionAreAVerdict() {
        failoverCoordinator.step();
        windowPasses();
        assertEquals(List.of(), host.asked, "one voice of three is no majority");
        majorityAgrees();
        assertEquals(List.of("challenge node-2"), host.asked);
        failoverCoordinator.step();
        assertEquals(List.of("challenge node-2"), host.asked, "the question stands for its time");
        windowPasses();
        assertEquals(List.of("challenge node-2", "evict node-2"), host.asked);
    }

    @Test
    void whoIsHeardAgainIsNotEvicted() {
        majorityAgrees();
        suspected = false;
        windowPasses();
        assertEquals(List.of("challenge node-2", "withdraw node-2"), host.asked);
    }

    /** Found on loopback: a move of machines failed the eviction, and a new question had to wait for seconds. */
    @Test
    void aChangeOfTheViewDoesNotCostANewQuestion() {
        host.failures = 1;
        majorityAgrees();
        windowPasses();
        failoverCoordinator.step();
        assertEquals(List.of("challenge node-2", "evict node-2", "evict node-2"), host.asked);
    }

    @Test
    void anAnsweredQuestionEndsTheAttempt() {
        host.failures = 1;
        host.stands = false;
        majorityAgrees();
        windowPasses();
        assertEquals(List.of("challenge node-2", "evict node-2"), host.asked);
    }
}
