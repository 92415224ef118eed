package org.havenford.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.havenford.storage.records.ClusterView;
import org.junit.jupiter.api.Test;

/** Tests until when a controller takes former owners of its machines to renew the leases of their agents. */
class FormerOwnersTest {
    private static final Duration LEASE = Duration.ofSeconds(8);
    private static final Instant START = Instant.ofEpochSecond(1000);
    private static final String MACHINE = "host-000001";

    private final FormerOwners formerOwners = new FormerOwners("node-0", LEASE);

    private static Instant at(double second) {
        return START.plusMillis((long) (second * 1000));
    }

    private static ClusterView view(long epoch, Map<String, Long> members) {
        return new ClusterView(epoch, new TreeMap<>(members), new TreeMap<>(), new TreeSet<>());
    }

    /** Records a change from one view to the next, and returns until when the machine's agent can be renewed after it. */
    private Instant replace(ClusterView replaced, ClusterView current, double second) {
        formerOwners.viewReplaced(replaced, current, at(second));
        return formerOwners.latestRenewal(MACHINE, at(second));
    }

    @Test
    void anOwnerWhoseOwnLeaseExpiredHasStopped() {
        formerOwners.leaseExpired(2);
        assertEquals(at(20), replace(view(4, Map.of("node-1", 2L)), view(5, Map.of("node-0", 1L)), 20));
    }

    @Test
    void anOwnerThatIsStillAMemberGoesOnForOneLease() {
        ClusterView current = view(5, Map.of("node-0", 1L, "node-1", 2L));
        assertEquals(at(28), replace(view(4, Map.of("node-1", 2L)), current, 20));
    }

    /** Guards against a running owner that is taken for gone when the registration of its former incarnation expires. */
    @Test
    void theExpiryOfAFormerIncarnationDoesNotStopTheRunningOne() {
        ClusterView running = view(4, Map.of("node-1", 3L));
        ClusterView repeated = view(5, Map.of("node-1", 2L));
        replace(running, repeated, 20);
        formerOwners.leaseExpired(2);
        assertEquals(at(28), replace(repeated, view(6, Map.of("node-0", 1L)), 21));
    }

    @Test
    void anEvictedOwnerGoesOnAlthoughItsRegistrationWasDeleted() {
        formerOwners.leaseExpired(2);
        TreeMap<String, Long> evicted = new TreeMap<>(Map.of("node-1", 2L));
        ClusterView current =
                new ClusterView(5, new TreeMap<>(Map.of("node-0", 1L)), new TreeMap<>(), new TreeSet<>(), evicted);
        assertEquals(at(28), replace(view(4, Map.of("node-1", 2L)), current, 20));
    }

    /** Guards against an owner two views ago that goes on although the last owner is known to have stopped. */
    @Test
    void anOwnerTwoViewsAgoGoesOnForOneLease() {
        replace(view(4, Map.of("node-1", 2L)), view(5, Map.of("node-2", 3L)), 20);
        formerOwners.leaseExpired(3);
        assertEquals(at(28), replace(view(5, Map.of("node-2", 3L)), view(6, Map.of("node-0", 1L)), 22));
        assertEquals(at(40), replace(view(6, Map.of("node-0", 1L)), view(7, Map.of("node-0", 4L)), 40));
    }

    @Test
    void ownersInViewsThatWereNotSeenGoOnForOneLease() {
        replace(ClusterView.empty(), view(4, Map.of("node-0", 1L)), 20);
        assertEquals(at(28), replace(view(4, Map.of("node-0", 1L)), view(5, Map.of("node-0", 5L)), 21));
    }
}
