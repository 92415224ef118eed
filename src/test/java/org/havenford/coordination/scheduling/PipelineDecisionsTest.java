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
import org.havenford.testing.QuietObserver;
import org.junit.jupiter.api.Test;

/** What the decisions make of jobs that await others. */
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
        clusterState.setObserver(new QuietObserver());
    }

    /** A stored header; {@code readyAgo} is negative for a job that was not released. */
    private JsonObject header(
            String id, String team, String urgency, long submittedAgo, List<String> awaits, long readyAgo) {
        JsonObject json = JobSamples.submission(id, 1, 8);
        json.addProperty("crew", team);
        json.addProperty("urgency", urgency);
        json.addProperty("guessS", 10.0);
        JsonArray names = new JsonArray();
        awaits.forEach(names::add);
        json.add("awaits", names);
        json.addProperty("_at", NOW.minusSeconds(submittedAgo).toEpochMilli());
        json.addProperty("_chunk", 16);
        if (readyAgo >= 0) {
            json.addProperty("_ready", NOW.minusSeconds(readyAgo).toEpochMilli());
        }
        return json;
    }

    private void put(JsonObject header) {
        clusterState.changed(Keys.job(header.get("nameId").getAsString()), header, ++stamp);
    }

    private static JsonObject due(JsonObject header, double seconds) {
        header.addProperty("airtimeS", seconds);
        return header;
    }

    private List<String> order(Instant now) throws Exception {
        JobOrder order = new JobOrder(clusterState, PlatformSettings.parse(SETTINGS));
        return order.order(now).jobs().stream().map(Job::id).toList();
    }

    /** A waiting job of the same team, submitted earlier, would use up the guarantee of 8 CPUs. */
    @Test
    void aWaitingJobHasNoPartOfGuaranteeAndOrder() throws Exception {
        put(header("j-1", "red", "urgent", 60, List.of("j-9"), -1));
        put(header("j-2", "red", "low", 30, List.of(), -1));
        put(header("j-3", "blue", "urgent", 50, List.of(), -1));
        assertEquals(List.of("j-2", "j-3"), order(NOW), "what is within the guarantee goes first");
        put(header("j-1", "red", "urgent", 60, List.of("j-9"), 0));
        assertEquals(List.of("j-1", "j-3", "j-2"), order(NOW), "the released job now takes the guarantee");
    }

    @Test
    void aWaitingJobHasNoPartOfDemandAndOfTheTeamsLimitThere() throws Exception {
        PlatformSettings settings = PlatformSettings.parse(SETTINGS);
        put(header("j-1", "red", "normal", 60, List.of("j-9"), -1));
        put(header("j-2", "red", "normal", 50, List.of(), -1));
        put(header("j-3", "red", "normal", 40, List.of(), -1));
        List<TaskDemand> demands =
                TaskDemandEstimator.estimate(clusterState, settings, NOW, TaskDemandEstimator.Pace.ALL_AT_ONCE);
        assertEquals(
                List.of("j-2", "j-3"), demands.stream().map(d -> d.spec().id()).toList());
        assertTrue(demands.stream().allMatch(d -> d.tasks() == 1), demands::toString);
    }

    /** Submitted long ago, a job starves only when it has waited for so long since its release. */
    @Test
    void starvationCountsFromTheRelease() throws Exception {
        put(header("j-1", "blue", "low", 600, List.of("j-9"), 10));
        put(header("j-2", "blue", "urgent", 5, List.of(), -1));
        assertEquals(List.of("j-2", "j-1"), order(NOW));
        assertEquals(List.of("j-1", "j-2"), order(NOW.plusSeconds(82)));
    }

    /** Both times are in the header, so every controller and every successor reads the same. */
    @Test
    void timesSurviveATakeOver() throws Exception {
        JsonObject stored = due(header("j-1", "blue", "low", 600, List.of("j-9"), 10), 700);
        Job read = Job.parse(Job.parse(stored).header(false));
        assertEquals(NOW.minusSeconds(10), read.releasedAt());
        assertEquals(NOW.plusSeconds(100), read.deadline(), "the deadline counts from the submission");
        assertFalse(read.awaitsDependencies());
    }

    /** Through a chain and a diamond, also when the clocks of accepting controllers put the later job first. */
    @Test
    void priorityAndDeadlinePassBackwards() {
        put(header("j-1", "blue", "low", 10, List.of(), -1));
        put(header("j-2", "blue", "low", 11, List.of("j-1"), -1));
        put(header("j-3", "blue", "normal", 12, List.of("j-1"), -1));
        put(due(header("j-4", "blue", "urgent", 13, List.of("j-2", "j-3"), -1), 113));
        put(due(header("j-5", "blue", "low", 10, List.of("j-3"), -1), 60));
        PriorityInheritance priorityInheritance = new PriorityInheritance(clusterState);
        priorityInheritance.refresh();
        Job first = clusterState.job("j-1");
        assertEquals(Priority.URGENT, priorityInheritance.priority(first));
        assertEquals(
                NOW.plusSeconds(30),
                priorityInheritance.deadline(first),
                "due of j-5 at 50, less two estimates of 10 s");
        assertEquals(NOW.plusSeconds(90), priorityInheritance.deadline(clusterState.job("j-2")));
        assertEquals(NOW.plusSeconds(40), priorityInheritance.deadline(clusterState.job("j-3")));
        assertEquals(Priority.URGENT, priorityInheritance.priority(clusterState.job("j-2")));
        clusterState.changed(Keys.job("j-5"), null, ++stamp);
        priorityInheritance.refresh();
        assertEquals(
                NOW.plusSeconds(80),
                priorityInheritance.deadline(first),
                "worked out anew when a job of the pipeline goes");
        put(due(header("j-6", "blue", "low", 0, List.of("j-1"), -1), 15));
        priorityInheritance.refresh();
        assertEquals(NOW.plusSeconds(5), priorityInheritance.deadline(first), "and when one is submitted later");
    }
}
