package org.havenford.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Instant;
import java.util.List;
import org.havenford.coordination.provisioning.TaskDemand;
import org.havenford.coordination.provisioning.TaskDemandEstimator;
import org.havenford.protocol.JobSpec.Priority;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.testing.JobSamples;
import org.havenford.testing.NoOpObserver;
import org.junit.jupiter.api.Test;

/** Effects of dependencies between jobs on placement order, demand, starvation, priorities and deadlines. */
class PipelineDecisionsTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_700_000_000L);
    private static final String SETTINGS =
            "{\"node_name\":\"n\",\"location\":\"a\",\"bind\":\"n:1\",\"cluster_listen\":\"n:2\","
                    + "\"others\":[],\"endpoints\":{\"cloud\":\"c:1\",\"state\":\"s:1\"},\"deployment\":{\"teams\":["
                    + "{\"name\":\"red\",\"cpus\":8,\"cpus_max\":16},{\"name\":\"blue\",\"cpus\":0,\"cpus_max\":0}],"
                    + "\"workers\":{\"report_s\":3,\"lease_s\":20,\"cancel_s\":44},"
                    + "\"state\":{\"rps\":300,\"write_rps\":150,\"value_kb\":8,\"txn_ops\":12},\"cloud\":{\"rps\":5,\"list_lag_s\":4}}}";

    private final ClusterState clusterState = new ClusterState();
    private long stamp;

    PipelineDecisionsTest() {
        clusterState.setObserver(new NoOpObserver());
    }

    /** Builds a stored header; {@code releasedSecondsAgo} is negative for a job that was not released. */
    private JsonObject header(
            String id,
            String team,
            String urgency,
            long submittedSecondsAgo,
            List<String> awaits,
            long releasedSecondsAgo) {
        JsonObject json = JobSamples.submission(id, 1, 8);
        json.addProperty("crew", team);
        json.addProperty("urgency", urgency);
        json.addProperty("guessS", 10.0);
        JsonArray names = new JsonArray();
        awaits.forEach(names::add);
        json.add("awaits", names);
        json.addProperty("_at", NOW.minusSeconds(submittedSecondsAgo).toEpochMilli());
        json.addProperty("_chunk", 16);
        if (releasedSecondsAgo >= 0) {
            json.addProperty("_ready", NOW.minusSeconds(releasedSecondsAgo).toEpochMilli());
        }
        return json;
    }

    private void put(JsonObject header) {
        clusterState.changed(Keys.job(header.get("nameId").getAsString()), header, ++stamp);
    }

    private static JsonObject withDeadline(JsonObject header, double seconds) {
        header.addProperty("airtimeS", seconds);
        return header;
    }

    private List<String> order(Instant now) throws Exception {
        JobOrder order = new JobOrder(clusterState, PlatformSettings.parse(SETTINGS));
        return order.order(now).jobs().stream().map(Job::id).toList();
    }

    /** Guards against an earlier job of the team that still waits for dependencies using up the guarantee of 8 CPUs. */
    @Test
    void waitingJobIsLeftOutOfGuaranteeAndOrder() throws Exception {
        put(header("j-1", "red", "urgent", 60, List.of("j-9"), -1));
        put(header("j-2", "red", "low", 30, List.of(), -1));
        put(header("j-3", "blue", "urgent", 50, List.of(), -1));
        assertEquals(List.of("j-2", "j-3"), order(NOW), "jobs within the guarantee go first");
        put(header("j-1", "red", "urgent", 60, List.of("j-9"), 0));
        assertEquals(List.of("j-1", "j-3", "j-2"), order(NOW), "the released job now uses the guarantee");
    }

    @Test
    void waitingJobIsLeftOutOfDemandAndItsTeamLimit() throws Exception {
        PlatformSettings settings = PlatformSettings.parse(SETTINGS);
        put(header("j-1", "red", "normal", 60, List.of("j-9"), -1));
        put(header("j-2", "red", "normal", 50, List.of(), -1));
        put(header("j-3", "red", "normal", 40, List.of(), -1));
        List<TaskDemand> demands =
                TaskDemandEstimator.estimate(clusterState, settings, NOW, TaskDemandEstimator.DemandScope.ALL_AT_ONCE);
        assertEquals(
                List.of("j-2", "j-3"), demands.stream().map(d -> d.spec().id()).toList());
        assertTrue(demands.stream().allMatch(d -> d.tasks() == 1), demands::toString);
    }

    /** Guards against a job that counts as starving because of the time that it waited for its dependencies. */
    @Test
    void starvationCountsFromRelease() throws Exception {
        put(header("j-1", "blue", "low", 600, List.of("j-9"), 10));
        put(header("j-2", "blue", "urgent", 5, List.of(), -1));
        assertEquals(List.of("j-2", "j-1"), order(NOW));
        assertEquals(List.of("j-1", "j-2"), order(NOW.plusSeconds(82)));
    }

    /** Both times are stored in the header, so all controllers, and those that take over, read the same values. */
    @Test
    void timesSurviveFailover() throws Exception {
        JsonObject stored = withDeadline(header("j-1", "blue", "low", 600, List.of("j-9"), 10), 700);
        Job read = Job.parse(Job.parse(stored).header(false));
        assertEquals(NOW.minusSeconds(10), read.releasedAt());
        assertEquals(NOW.plusSeconds(100), read.deadline(), "the deadline counts from the submission");
        assertFalse(read.awaitsDependencies());
    }

    /**
     * Covers a chain and a diamond of dependencies, with submission times that contradict the dependency order, as they
     * do if the clocks of the accepting controllers differ.
     */
    @Test
    void dependenciesInheritPriorityAndDeadline() {
        put(header("j-1", "blue", "low", 10, List.of(), -1));
        put(header("j-2", "blue", "low", 11, List.of("j-1"), -1));
        put(header("j-3", "blue", "normal", 12, List.of("j-1"), -1));
        put(withDeadline(header("j-4", "blue", "urgent", 13, List.of("j-2", "j-3"), -1), 113));
        put(withDeadline(header("j-5", "blue", "low", 10, List.of("j-3"), -1), 60));
        PriorityInheritance priorityInheritance = new PriorityInheritance(clusterState);
        priorityInheritance.refresh();
        Job first = clusterState.job("j-1");
        assertEquals(Priority.URGENT, priorityInheritance.priority(first));
        assertEquals(
                NOW.plusSeconds(30),
                priorityInheritance.deadline(first),
                "deadline of j-5 at 50 s, less two estimates of 10 s");
        assertEquals(NOW.plusSeconds(90), priorityInheritance.deadline(clusterState.job("j-2")));
        assertEquals(NOW.plusSeconds(40), priorityInheritance.deadline(clusterState.job("j-3")));
        assertEquals(Priority.URGENT, priorityInheritance.priority(clusterState.job("j-2")));
        clusterState.changed(Keys.job("j-5"), null, ++stamp);
        priorityInheritance.refresh();
        assertEquals(
                NOW.plusSeconds(80), priorityInheritance.deadline(first), "recomputed when a job of the pipeline ends");
        put(withDeadline(header("j-6", "blue", "low", 0, List.of("j-1"), -1), 15));
        priorityInheritance.refresh();
        assertEquals(
                NOW.plusSeconds(5), priorityInheritance.deadline(first), "recomputed when a job is submitted later");
    }
}
