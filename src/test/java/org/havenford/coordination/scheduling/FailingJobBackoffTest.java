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
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.TaskRange;
import org.havenford.testing.JobSamples;
import org.havenford.testing.QuietObservertype;
import org.junit.jupiter.api.Test;

/** Jobs that fail everywhere, jobs that fail by bad luck, and machines on which both fail. */
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

    private final ClusterState ledger = new ClusterState();
    private final MachineFaultDetector evidence = new MachineFaultDetector(ledger);
    private long stamp;

    FailingJobBackoffTest() {
        ledger.observer(new QuietObservertype());
        ledger.changed(Keys.TYPES, JsonParser.parseString(TYPES), ++stamp);
    }

    private Job submit(String id, String urgency, int submittedAgo) {
        JsonObject header = JobSamples.submission(id, 32, 2);
        header.addProperty("urgency", urgency);
        header.addProperty("_at", NOW.minusSeconds(submittedAgo).toEpochMilli());
        header.addProperty("_chunk", 16);
        ledger.changed(Keys.job(id), header, ++stamp);
        return ledger.job(id);
    }

    private void attempt(String id, int task, boolean succeeds) {
        Job job = ledger.job(id);
        TaskRange chunk = job.chunk(job.chunkOf(task)).copy();
        chunk.claim(task, "host-1", 1, NOW, "");
        if (succeeds) {
            chunk.finish(task, 1, 1);
        } else {
            chunk.release(task, false, true);
        }
        ledger.changed(Keys.tasks(id, job.chunkOf(task)), chunk.toJson(), ++stamp);
    }

    private void fail(String id, int times) {
        for (int i = 0; i < times; i++) {
            attempt(id, i, false);
        }
    }

    /** However urgent it is and however long it waits, it takes nothing from sound work but a short turn each minute. */
    @Test
    void whatFailsEverywhereGoesLast() throws Exception {
        submit("j-1", "urgent", 300);
        submit("j-2", "low", 5);
        fail("j-1", 8);
        JobOrder order = new JobOrder(ledger, PlatformSettings.parse(SETTINGS));
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
    void oneTaskAtATimeUntilOneIsDone() {
        submit("j-1", "normal", 10);
        fail("j-1", 8);
        assertTrue(FailingJobBackoff.isSuspect(ledger.job("j-1")));
        assertEquals(1, FailingJobBackoff.mostClaims(ledger.job("j-1")));
        // A success in one record does not take back the failures noted in the other.
        attempt("j-1", 20, false);
        attempt("j-1", 21, false);
        attempt("j-1", 22, false);
        attempt("j-1", 1, true);
        assertFalse(FailingJobBackoff.isSuspect(ledger.job("j-1")));
        assertEquals(2, FailingJobBackoff.mostClaims(ledger.job("j-1")));
    }

    @Test
    void retriesBackOffPerJob() {
        FailingJobBackoff failing = new FailingJobBackoff();
        submit("j-1", "normal", 10);
        assertFalse(failing.backsOff(ledger.job("j-1"), NOW));
        fail("j-1", 8);
        assertTrue(failing.backsOff(ledger.job("j-1"), NOW));
        assertTrue(failing.backsOff(ledger.job("j-1"), NOW.plusSeconds(59)));
        assertFalse(failing.backsOff(ledger.job("j-1"), NOW.plusSeconds(61)));
        attempt("j-1", 20, true);
        attempt("j-1", 9, false);
        assertTrue(failing.backsOff(ledger.job("j-1"), NOW.plusSeconds(61)));
        assertFalse(failing.backsOff(ledger.job("j-1"), NOW.plusSeconds(66)), "a job that works waits a moment only");
    }

    /** Rentals: a dozen broken jobs ask for no more than two tasks' machines, and for one machine that none has tried. */
    @Test
    void brokenJobsDriveNoRentals() throws Exception {
        for (int i = 0; i < 12; i++) {
            submit("j-" + i, "urgent", 300);
            fail("j-" + i, 8);
        }
        List<CapacityDemand.TaskDemand> demands =
                CapacityDemand.taskDemands(ledger, PlatformSettings.parse(SETTINGS), NOW, false);
        assertEquals(
                2,
                demands.stream().mapToDouble(CapacityDemand.TaskDemand::tasks).sum());
        double machines = CapacityDemand.machines(demands, ledger.types(), kind -> false, java.util.Map.of())
                .values()
                .doubleStream()
                .sum();
        assertTrue(machines <= 2, "machines: " + machines);
    }

    @Test
    void brokenJobsBlameNoMachine() {
        for (String id : List.of("j-1", "j-2", "j-3")) {
            submit(id, "normal", 10);
            fail(id, 2);
            evidence.failed("host-1", id);
        }
        assertFalse(evidence.isFaulty("host-1"));
        Job cancelled = ledger.job("j-1");
        evidence.jobEnded(new Job(cancelled.spec(), cancelled.submitted(), 16, true));
        assertFalse(evidence.isFaulty("host-1"), "a cancelled job proves nothing");
        attempt("j-2", 4, true);
        assertFalse(evidence.isFaulty("host-1"), "one job is not enough");
        evidence.jobEnded(ledger.job("j-3"));
        assertTrue(evidence.isFaulty("host-1"), "one works elsewhere, the other was done to its end");
        assertFalse(evidence.isFaulty("host-2"));
    }

    @Test
    void aSuccessClearsAMachine() {
        submit("j-1", "normal", 10);
        submit("j-2", "normal", 10);
        attempt("j-1", 0, true);
        attempt("j-2", 0, true);
        evidence.failed("host-1", "j-1");
        evidence.succeeded("host-1");
        evidence.failed("host-1", "j-2");
        assertFalse(evidence.isFaulty("host-1"));
        evidence.failed("host-1", "j-1");
        assertTrue(evidence.isFaulty("host-1"));
    }
}
