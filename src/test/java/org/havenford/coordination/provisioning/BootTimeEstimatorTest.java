package org.havenford.coordination.provisioning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineBatch;
import org.havenford.storage.records.MachineRecord.Condition;
import org.havenford.storage.records.MachineStatuses;
import org.havenford.testing.QuietObserver;
import org.junit.jupiter.api.Test;

/** Which rented machines are overdue, and which offers are in trouble. A boot takes 20 s by its type. */
class BootTimeEstimatorTest {
    private static final Instant START = Instant.ofEpochSecond(1_700_000_000L);
    private static final String TYPES =
            "{\"rigs\":[{\"name\":\"large\",\"vcpus\":16,\"memGb\":64,\"bootS\":20,\"halls\":[\"a\",\"b\"]}]}";
    private static final InstanceOffer ZONE_A = new InstanceOffer(new InstanceKind("large", true), "a");
    private static final InstanceOffer ZONE_B = new InstanceOffer(new InstanceKind("large", true), "b");

    private final ClusterState clusterState = new ClusterState();
    private final BootTimeEstimator times = new BootTimeEstimator(clusterState);
    private long stamp;
    private int batches;

    BootTimeEstimatorTest() {
        clusterState.setObserver(new QuietObserver());
        clusterState.changed(Keys.TYPES, JsonParser.parseString(TYPES), ++stamp);
    }

    private static Instant at(double second) {
        return START.plusMillis((long) (second * 1000));
    }

    /** Rents machines; their names begin with the batch's. */
    private List<String> rent(InstanceOffer offer, double second, int number) {
        String batch = "r-" + batches++;
        List<String> names =
                IntStream.range(0, number).mapToObj(i -> batch + "-" + i).toList();
        MachineBatch rented = MachineBatch.of(batch, offer.kind().type(), offer.zone(), true, at(second), names);
        clusterState.changed(Keys.batch(batch), rented.toJson(), ++stamp);
        return names;
    }

    private void up(String machine, double second) {
        TreeMap<String, MachineStatuses.Status> all =
                new TreeMap<>(Map.of(machine, new MachineStatuses.Status(Condition.UP, List.of())));
        clusterState.changed(
                Keys.machineStatuses("n", batches + machine.hashCode()),
                new MachineStatuses(at(second), all).toJson(8192),
                ++stamp);
    }

    private boolean overdue(String machine) {
        return times.isOverdue(clusterState.machine(machine));
    }

    @Test
    void overdueByItsType() {
        String machine = rent(ZONE_A, 0, 1).get(0);
        times.update(at(30));
        assertFalse(overdue(machine), "1.5 times its nominal time is usual");
        times.update(at(40));
        assertTrue(overdue(machine));
        assertFalse(times.hasTimedOut(clusterState.machine(machine)));
        times.update(at(81));
        assertTrue(times.hasTimedOut(clusterState.machine(machine)));
    }

    /** Where machines were seen to take longer, the next are waited for longer; in the other zone nothing has changed. */
    @Test
    void overdueByWhatWasSeen() {
        List<String> slow = rent(ZONE_A, 0, 4);
        times.update(at(1));
        slow.forEach(machine -> up(machine, 44));
        times.update(at(44));
        String next = rent(ZONE_A, 50, 1).get(0);
        String other = rent(ZONE_B, 50, 1).get(0);
        times.update(at(95));
        assertFalse(overdue(next));
        assertTrue(overdue(other));
        times.update(at(116));
        assertTrue(overdue(next), "three times the nominal time is too long in any case");
    }

    @Test
    void anOfferWhoseMachinesDoNotComeUpIsInTrouble() {
        rent(ZONE_A, 0, 5);
        List<String> elsewhere = rent(ZONE_B, 0, 5);
        times.update(at(20));
        up(elsewhere.get(0), 20);
        times.update(at(45));
        assertTrue(times.isFailingToBoot(ZONE_A));
        assertFalse(times.isFailingToBoot(ZONE_B), "one that was rented with them is up");
        assertEquals(Map.of(ZONE_A, 5, ZONE_B, 4), times.overdueByOffer());
        assertTrue(times.isRetryDue(ZONE_A));
        List<String> tried = rent(ZONE_A, 45, 2);
        times.update(at(46));
        assertFalse(times.isRetryDue(ZONE_A), "not again at once");
        up(tried.get(0), 60);
        times.update(at(60));
        assertFalse(times.isFailingToBoot(ZONE_A), "a machine rented later than those is up");
    }

    /** A successor has seen no boots, and judges from the records alike. */
    @Test
    void aSuccessorJudgesAlike() {
        rent(ZONE_A, 0, 5);
        times.update(at(45));
        BootTimeEstimator successor = new BootTimeEstimator(clusterState);
        successor.update(at(45));
        assertTrue(successor.isFailingToBoot(ZONE_A));
        assertEquals(times.overdueByOffer(), successor.overdueByOffer());
    }
}
