package org.havenford.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.time.Instant;
import java.util.List;
import org.havenford.coordination.agents.MachineFaultDetector;
import org.havenford.coordination.provisioning.CapacityDemand;
import org.havenford.coordination.provisioning.InstanceCounts;
import org.havenford.coordination.provisioning.TaskDemand;
import org.havenford.coordination.provisioning.TaskDemandEstimator;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.TaskRange;
import org.havenford.testing.JobSamples;
import org.havenford.testing.NoOpObserver;
import org.junit.jupiter.api.Test;

/**
 * Jobs that fail on every machine must not displace healthy jobs, trigger rentals or make machines look faulty; jobs
 * that are known to work are retried soon, and their failures count against the machine.
 */
class FailingJobBackoffTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_700_000_000L);
    private static final String TYPES =
            "{\"rigs\":[{\"name\":\"large\",\"vcpus\":16,\"memGb\":64,\"fetchGbPerS\":0.5,\"halls\":[\"a\"]}]}";
    private static final String SETTINGS = "{\"node_name\":\"n\",\"location\":\"a\",\"bind\":\"n:1\","
            + "\"cluster_listen\":\"n:2\",\"others\":[],\"endpoints\":{\"cloud\":\"c:1\",\"state\":\"s:1\"},"
            + "\"deployment\":{\"teams\":[{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}],\"objectives\":[],"
            + "\"workers\":{\"report_s\":3,\"lease_s\":20,\"cancel_s\":44},"
            + "\"state\":{\"rps\":300,\"write_rps\":150,\"value_kb\":8,\"txn_ops\":12},"
            + "\"cloud\":{\"rps\":5,\"list_lag_s\":4}}}";

    private final ClusterState clusterState = new ClusterState();
    private final MachineFaultDetector faultDetector = new MachineFaultDetector(clusterState);
    private long stamp;

    FailingJobBackoffTest() {
        clusterState.setObserver(new NoOpObserver());
        clusterState.changed(Keys.TYPES, JsonParser.parseString(TYPES), ++stamp);
    }

    private Job submit(String id, String urgency, int submittedSecondsAgo) {
        JsonObject header = JobSamples.submission(id, 32, 2);
        header.addProperty("urgency", urgency);
        header.addProperty("_at", NOW.minusSeconds(submittedSecondsAgo).toEpochMilli());
        header.addProperty("_chunk", 16);
        clusterState.changed(Keys.job(id), header, ++stamp);
        return clusterState.job(id);
    }

    private void attempt(String id, int task, boolean succeeds) {
        Job job = clusterState.job(id);
        TaskRange taskRange = job.taskRange(job.taskRangeIndex(task)).copy();
        taskRange.claim(task, "host-1", 1, NOW, "");
        if (succeeds) {
            taskRange.finish(task, 1, 1);
        } else {
            taskRange.release(task, false, true);
        }
        clusterState.changed(Keys.tasks(id, job.taskRangeIndex(task)), taskRange.toJson(), ++stamp);
    }

    private void fail(String id, int times) {
        for (int i = 0; i < times; i++) {
            attempt(id, i, false);
        }
    }

    /**
     * Guards against an urgent, long-waiting broken job that goes first outside its service window of 5 s per minute.
     */
    @Test
    void jobFailingEverywhereIsDeprioritized() throws Exception {
        submit("j-1", "urgent", 300);
        submit("j-2", "low", 5);
        fail("j-1", 8);
        JobOrder order = new JobOrder(clusterState, PlatformSettings.parse(SETTINGS));
        int first = 0;
        for (int second = 0; second < 60; second++) {
            List<String> ids = order.order(NOW.plusSeconds(second)).jobs().stream()
                    .map(Job::id)
                    .toList();
            first += ids.get(0).equals("j-1") ? 1 : 0;
        }
        assertTrue(first > 0 && first <= 6, "first in " + first + " of 60 seconds");
    }

    @Test
    void runsOneTaskAtATimeUntilOneIsDone() {
        submit("j-1", "normal", 10);
        fail("j-1", 8);
        assertTrue(FailingJobBackoff.isLikelyBroken(clusterState.job("j-1")));
        assertEquals(1, FailingJobBackoff.maxClaims(clusterState.job("j-1")));
        // A success in one task range does not reset the failures counted in the other.
        attempt("j-1", 20, false);
        attempt("j-1", 21, false);
        attempt("j-1", 22, false);
        attempt("j-1", 1, true);
        assertFalse(FailingJobBackoff.isLikelyBroken(clusterState.job("j-1")));
        assertEquals(2, FailingJobBackoff.maxClaims(clusterState.job("j-1")));
    }

    @Test
    void backsOffRetriesPerJob() {
        FailingJobBackoff backoff = new FailingJobBackoff();
        submit("j-1", "normal", 10);
        assertFalse(backoff.isBackingOff(clusterState.job("j-1"), NOW));
        fail("j-1", 8);
        assertTrue(backoff.isBackingOff(clusterState.job("j-1"), NOW));
        assertTrue(backoff.isBackingOff(clusterState.job("j-1"), NOW.plusSeconds(59)));
        assertFalse(backoff.isBackingOff(clusterState.job("j-1"), NOW.plusSeconds(61)));
        attempt("j-1", 20, true);
        attempt("j-1", 9, false);
        assertTrue(backoff.isBackingOff(clusterState.job("j-1"), NOW.plusSeconds(61)));
        assertFalse(
                backoff.isBackingOff(clusterState.job("j-1"), NOW.plusSeconds(66)),
                "the back-off of a job that works is at most 4 s");
    }

    /** Guards against renting machines for broken jobs: a dozen of them demand two tasks on at most two machines. */
    @Test
    void brokenJobsTriggerNoRentals() throws Exception {
        for (int i = 0; i < 12; i++) {
            submit("j-" + i, "urgent", 300);
            fail("j-" + i, 8);
        }
        List<TaskDemand> demands = TaskDemandEstimator.estimate(
                clusterState, PlatformSettings.parse(SETTINGS), NOW, TaskDemandEstimator.DemandScope.ALL_AT_ONCE);
        assertEquals(2, demands.stream().mapToDouble(TaskDemand::tasks).sum());
        double machines = CapacityDemand.requiredMachines(
                        demands, clusterState.types(), kind -> false, new InstanceCounts())
                .values()
                .doubleStream()
                .sum();
        assertTrue(machines <= 2, "machines: " + machines);
    }

    @Test
    void brokenJobsMarkNoMachineFaulty() {
        for (String id : List.of("j-1", "j-2", "j-3")) {
            submit(id, "normal", 10);
            fail(id, 2);
            faultDetector.recordFailure("host-1", id);
        }
        assertFalse(faultDetector.isFaulty("host-1"));
        Job cancelled = clusterState.job("j-1");
        faultDetector.jobEnded(new Job(cancelled.spec(), cancelled.submittedAt(), 16, true));
        assertFalse(faultDetector.isFaulty("host-1"), "a cancelled job is no evidence against a machine");
        attempt("j-2", 4, true);
        assertFalse(faultDetector.isFaulty("host-1"), "failures of one job that works are not enough");
        faultDetector.jobEnded(clusterState.job("j-3"));
        assertTrue(faultDetector.isFaulty("host-1"), "one job has a finished task, the other has completed");
        assertFalse(faultDetector.isFaulty("host-2"));
    }

    @Test
    void successResetsFailuresOfMachine() {
        submit("j-1", "normal", 10);
        submit("j-2", "normal", 10);
        attempt("j-1", 0, true);
        attempt("j-2", 0, true);
        faultDetector.recordFailure("host-1", "j-1");
        faultDetector.recordSuccess("host-1");
        faultDetector.recordFailure("host-1", "j-2");
        assertFalse(faultDetector.isFaulty("host-1"));
        faultDetector.recordFailure("host-1", "j-1");
        assertTrue(faultDetector.isFaulty("host-1"));
    }
}
