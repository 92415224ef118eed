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
import org.havenford.testing.NoOpObserver;
import org.junit.jupiter.api.Test;

/** Detection of overdue machines and of offers that fail to boot. The nominal boot time of the machine type is 20 s. */
class BootTimeEstimatorTest {
    private static final Instant START = Instant.ofEpochSecond(1_700_000_000L);
    private static final String TYPES =
            "{\"rigs\":[{\"name\":\"large\",\"vcpus\":16,\"memGb\":64,\"bootS\":20,\"halls\":[\"a\",\"b\"]}]}";
    private static final InstanceOffer ZONE_A = new InstanceOffer(new InstanceKind("large", true), "a");
    private static final InstanceOffer ZONE_B = new InstanceOffer(new InstanceKind("large", true), "b");

    private final ClusterState clusterState = new ClusterState();
    private final BootTimeEstimator estimator = new BootTimeEstimator(clusterState);
    private long revision;
    private int batchCount;

    BootTimeEstimatorTest() {
        clusterState.setObserver(new NoOpObserver());
        clusterState.changed(Keys.TYPES, JsonParser.parseString(TYPES), ++revision);
    }

    private static Instant at(double second) {
        return START.plusMillis((long) (second * 1000));
    }

    /** Records a batch of launched machines, and returns their names, which start with the batch name. */
    private List<String> launch(InstanceOffer offer, double second, int count) {
        String batch = "r-" + batchCount++;
        List<String> names =
                IntStream.range(0, count).mapToObj(i -> batch + "-" + i).toList();
        MachineBatch launched = MachineBatch.of(batch, offer.kind().type(), offer.zone(), true, at(second), names);
        clusterState.changed(Keys.batch(batch), launched.toJson(), ++revision);
        return names;
    }

    private void reportUp(String machine, double second) {
        TreeMap<String, MachineStatuses.Status> all =
                new TreeMap<>(Map.of(machine, new MachineStatuses.Status(Condition.UP, List.of())));
        clusterState.changed(
                Keys.machineStatuses("n", batchCount + machine.hashCode()),
                new MachineStatuses(at(second), all).toJson(8192),
                ++revision);
    }

    private boolean isOverdue(String machine) {
        return estimator.isOverdue(clusterState.machine(machine));
    }

    @Test
    void machineIsOverdueAfterTheUsualBootTimeOfItsType() {
        String machine = launch(ZONE_A, 0, 1).get(0);
        estimator.update(at(30));
        assertFalse(isOverdue(machine), "1.5 times the nominal boot time is usual");
        estimator.update(at(40));
        assertTrue(isOverdue(machine));
        assertFalse(estimator.hasTimedOut(clusterState.machine(machine)));
        estimator.update(at(81));
        assertTrue(estimator.hasTimedOut(clusterState.machine(machine)));
    }

    /** Slow boots in one zone extend the expected boot time there, up to a limit, but not in the other zone. */
    @Test
    void slowRecentBootsExtendTheExpectedBootTimeInTheirZone() {
        List<String> slow = launch(ZONE_A, 0, 4);
        estimator.update(at(1));
        slow.forEach(machine -> reportUp(machine, 44));
        estimator.update(at(44));
        String next = launch(ZONE_A, 50, 1).get(0);
        String other = launch(ZONE_B, 50, 1).get(0);
        estimator.update(at(95));
        assertFalse(isOverdue(next));
        assertTrue(isOverdue(other));
        estimator.update(at(116));
        assertTrue(isOverdue(next), "more than three times the nominal boot time is always overdue");
    }

    @Test
    void offerFailsToBootWhileNoneOfItsMachinesComesUp() {
        launch(ZONE_A, 0, 5);
        List<String> elsewhere = launch(ZONE_B, 0, 5);
        estimator.update(at(20));
        reportUp(elsewhere.get(0), 20);
        estimator.update(at(45));
        assertTrue(estimator.isFailingToBoot(ZONE_A));
        assertFalse(estimator.isFailingToBoot(ZONE_B), "a machine launched with the overdue ones is up");
        assertEquals(Map.of(ZONE_A, 5, ZONE_B, 4), estimator.overdueByOffer());
        assertTrue(estimator.isRetryDue(ZONE_A));
        List<String> retried = launch(ZONE_A, 45, 2);
        estimator.update(at(46));
        assertFalse(estimator.isRetryDue(ZONE_A), "the retry interval has not passed");
        reportUp(retried.get(0), 60);
        estimator.update(at(60));
        assertFalse(estimator.isFailingToBoot(ZONE_A), "a machine launched after the overdue ones is up");
    }

    /** After a failover, an estimator that has observed no boots reaches the same result from the records. */
    @Test
    void newLeaderDetectsFailingOfferFromRecordsAlone() {
        launch(ZONE_A, 0, 5);
        estimator.update(at(45));
        BootTimeEstimator successor = new BootTimeEstimator(clusterState);
        successor.update(at(45));
        assertTrue(successor.isFailingToBoot(ZONE_A));
        assertEquals(estimator.overdueByOffer(), successor.overdueByOffer());
    }
}
