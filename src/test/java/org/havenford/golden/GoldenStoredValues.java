package org.havenford.golden;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.FinalState;
import org.havenford.storage.records.InstanceRequest;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineBatch;
import org.havenford.storage.records.MachineRecord.Condition;
import org.havenford.storage.records.MachineStatuses;
import org.havenford.storage.records.TaskRange;
import org.havenford.storage.records.TeamQuota;
import org.havenford.testing.JobSamples;
import org.havenford.testing.NoOpObserver;

/**
 * Builds values of every stored format from fixed inputs, and parses values and writes them back. The name of an entry
 * consists of the key under which it would be stored, a {@code #}, and its variant.
 */
final class GoldenStoredValues {
    private static final Instant TIMESTAMP = Instant.ofEpochMilli(1_700_000_000_000L);
    private static final int LARGE_LIMIT = 16 * 1024;
    private static final int THINNED_LIMIT = 250;
    private static final int COMPACT_FORM_LIMIT = 900;
    private static final int FEWER_IMAGES_LIMIT = 255;
    private static final int FIRST_TASK = 64;
    private static final int RANGE_SIZE = 32;

    private GoldenStoredValues() {}

    /** Builds a value of every stored format that the current version writes. */
    static Map<String, JsonElement> buildAll() throws MalformedMessageException {
        Map<String, JsonElement> values = new LinkedHashMap<>();
        addViews(values);
        addJobs(values);
        addTaskRanges(values);
        addMachines(values);
        values.put("live/team/red#plain", new TeamQuota().toJson());
        values.put(
                "live/team/red#shared",
                new TeamQuota()
                        .withShare("node-0", new TeamQuota.Resources(32, 0))
                        .withShare("node-1", new TeamQuota.Resources(8.5, 2))
                        .withStarved("node-0", true)
                        .toJson());
        values.put("final/j-1#done", FinalState.of(FinalState.Status.DONE, 7).toJson());
        values.put(
                "final/j-1#withdrawn",
                FinalState.of(FinalState.Status.CANCELLED, 7).toJson());
        values.put("final/j-1#done-at", new FinalState(FinalState.Status.DONE, 7, TIMESTAMP).toJson());
        values.put("final/j-1#withdrawn-at", new FinalState(FinalState.Status.CANCELLED, 7, TIMESTAMP).toJson());
        return values;
    }

    private static void addViews(Map<String, JsonElement> values) {
        TreeMap<String, Long> members = new TreeMap<>(Map.of("node-0", 4L, "node-1", 12L, "node-2", 5L));
        TreeMap<String, String> reassigned = new TreeMap<>(Map.of("host-000001", "node-0", "host-000002", "node-1"));
        TreeSet<String> cordoned = new TreeSet<>(List.of("node-2"));
        TreeMap<String, Long> evicted = new TreeMap<>(Map.of("node-3", 9L));
        values.put("live/view#empty", ClusterView.empty().toJson());
        values.put("live/view#plain", new ClusterView(2, members, new TreeMap<>(), new TreeSet<>()).toJson());
        values.put("live/view#moved", new ClusterView(3, members, reassigned, new TreeSet<>()).toJson());
        values.put("live/view#resting", new ClusterView(4, members, new TreeMap<>(), cordoned).toJson());
        values.put(
                "live/view#evicted", new ClusterView(5, members, new TreeMap<>(), new TreeSet<>(), evicted).toJson());
        values.put("live/view#all", new ClusterView(6, members, reassigned, cordoned, evicted).toJson());
    }

    private static void addJobs(Map<String, JsonElement> values) throws MalformedMessageException {
        JsonObject plain = JobSamples.submission("j-1", 40, 1.5);
        JsonObject dependent = plain.deepCopy();
        dependent.add("awaits", JsonParser.parseString("[\"j-8\",\"j-7\"]"));
        JsonObject full = dependent.deepCopy();
        full.add("rigs", JsonParser.parseString("[\"small\",\"large\"]"));
        full.addProperty("hall", "a");
        full.addProperty("cards", 2.0);
        full.addProperty("airtimeS", 900.5);
        JsonObject together = plain.deepCopy();
        together.addProperty("together", true);
        JsonObject apart = plain.deepCopy();
        apart.addProperty("apart", true);
        values.put("live/job/j-1#plain", job(plain).header(false));
        values.put("live/job/j-1#cancelled", job(plain).header(true));
        values.put("live/job/j-1#together", job(together).header(false));
        values.put("live/job/j-1#apart", job(apart).header(false));
        values.put("live/job/j-1#awaits", job(dependent).header(false));
        values.put("live/job/j-1#awaits-ready", job(dependent).releasedHeader(TIMESTAMP.plusSeconds(9)));
        values.put(
                "live/job/j-1#awaits-ready-cancelled",
                Job.parse(job(dependent).releasedHeader(TIMESTAMP.plusSeconds(9)))
                        .header(true));
        values.put("live/job/j-1#all-fields", job(full).header(false));
        for (String priority : List.of("production", "urgent", "low")) {
            JsonObject withPriority = plain.deepCopy();
            withPriority.addProperty("urgency", priority);
            values.put("live/job/j-1#" + priority, job(withPriority).header(false));
        }
    }

    private static Job job(JsonObject submission) throws MalformedMessageException {
        return new Job(JobSpec.parse(submission), TIMESTAMP, RANGE_SIZE, false);
    }

    private static void addTaskRanges(Map<String, JsonElement> values) {
        values.put("live/tasks/j-1/2#fresh", newTaskRange().toJson());
        TaskRange usual = newTaskRange();
        usual.claim(64, "host-000001", 1, TIMESTAMP, "node-0");
        usual.claim(65, "host-000001", 1, TIMESTAMP, "");
        usual.finish(65, 1.5, 20.2);
        usual.claim(66, "host-000002", 3, TIMESTAMP, "");
        usual.release(66, true, true);
        usual.claim(66, "host-000003", 2, TIMESTAMP.plusSeconds(40), "");
        usual.claim(95, "host-000003", 2, TIMESTAMP, "node-1");
        usual.release(95, false, true);
        values.put("live/tasks/j-1/2#usual", usual.toJson(LARGE_LIMIT, LARGE_LIMIT, true));
        TaskRange thinned = newTaskRange();
        for (int task = FIRST_TASK; task < FIRST_TASK + RANGE_SIZE; task++) {
            thinned.claim(task, "host-000001", 1, TIMESTAMP, "");
            thinned.finish(task, task / 10.0, 200 - task);
        }
        values.put("live/tasks/j-1/2#thinned", thinned.toJson(THINNED_LIMIT, THINNED_LIMIT, false));
        TaskRange shortened = newTaskRange();
        for (int task = FIRST_TASK; task < FIRST_TASK + RANGE_SIZE - 2; task++) {
            shortened.claim(
                    task, "host-0000" + task, 2, TIMESTAMP.plusMillis(250L * task), task % 3 == 0 ? "" : "node-1");
        }
        shortened.release(70, true, true);
        shortened.release(71, false, false);
        shortened.finish(72, 2, 30);
        values.put("live/tasks/j-1/2#short", shortened.toJson(COMPACT_FORM_LIMIT, COMPACT_FORM_LIMIT, true));
    }

    private static TaskRange newTaskRange() {
        return new TaskRange("j-1", FIRST_TASK, RANGE_SIZE);
    }

    private static void addMachines(Map<String, JsonElement> values) {
        MachineBatch batch = MachineBatch.of(
                "r-2-4-1", "large", "b", true, TIMESTAMP, List.of("host-000001", "host-000002", "host-000003"));
        values.put("live/machine/r-2-4-1#in-service", batch.toJson());
        values.put(
                "live/machine/r-2-4-1#all-services",
                batch.withServiceState("host-000002", MachineBatch.ServiceState.RETIRING)
                        .withServiceState("host-000003", MachineBatch.ServiceState.RETURNING)
                        .toJson());
        MachineStatuses statuses = new MachineStatuses(TIMESTAMP, new TreeMap<>());
        values.put("live/heard/node-0/0#empty", statuses.toJson(LARGE_LIMIT));
        int number = 0;
        for (Condition condition : Condition.values()) {
            List<String> images = List.of("img-" + number, "img-shared").subList(0, number % 3);
            statuses.machines().put("host-00000" + number++, new MachineStatuses.Status(condition, images));
        }
        values.put("live/heard/node-0/0#all-conditions", statuses.toJson(LARGE_LIMIT));
        values.put("live/heard/node-0/0#fewer-images", statuses.toJson(FEWER_IMAGES_LIMIT));
        values.put(
                "live/booking/r-2-4-1#plain",
                new InstanceRequest("r-2-4-1", "large", "b", true, 12, TIMESTAMP).toJson());
        values.put("live/types#plain", MachineType.toJson(types()));
    }

    /** Returns two machine types, one with GPUs and one without. */
    static List<MachineType> types() {
        List<String> zones = List.of("a", "b");
        return List.of(
                new MachineType("g8", 96, 8, 768, 200, 1, 12, 4.5, Duration.ofSeconds(45), zones),
                new MachineType("small", 4, 0, 32, 40, 0.5, 0.24, 0.08, Duration.ofMillis(20_500), zones));
    }

    /** Returns member registrations as stored by versions of formats 1 and 2, which the current version only reads. */
    static Map<String, JsonElement> earlierRegistrations() throws IOException {
        Map<String, JsonElement> values = new LinkedHashMap<>();
        for (int format = 1; format <= 2; format++) {
            Path samples = Path.of("src/test/resources/samples/format-" + format + ".txt");
            for (String line : Files.readAllLines(samples)) {
                if (line.startsWith(Keys.member("node-0") + " ")) {
                    values.put(
                            Keys.member("node-0") + "#format-" + format,
                            JsonParser.parseString(line.substring(line.indexOf(' '))));
                }
            }
        }
        return values;
    }

    /** Parses a value and writes it back; returns null for formats that the current version does not both read and write. */
    static JsonElement rewrite(String name, JsonObject value) throws MalformedMessageException {
        String key = name.substring(0, name.indexOf('#'));
        if (key.equals(Keys.VIEW)) {
            return ClusterView.parse(value).toJson();
        } else if (key.startsWith(Keys.JOBS)) {
            Job job = Job.parse(value);
            return job.header(job.cancelled());
        } else if (key.startsWith(Keys.TASKS)) {
            return newTaskRange()
                    .read(value)
                    .toJson(value.has("s") ? COMPACT_FORM_LIMIT : LARGE_LIMIT, LARGE_LIMIT, true);
        } else if (key.startsWith(Keys.MACHINES)) {
            return MachineBatch.parse(key.substring(Keys.MACHINES.length()), value)
                    .toJson();
        } else if (key.startsWith(Keys.MACHINE_STATUSES)) {
            return MachineStatuses.parse(value).toJson(LARGE_LIMIT);
        } else if (key.startsWith(Keys.TEAMS)) {
            return TeamQuota.parse(value).toJson();
        } else if (key.startsWith(Keys.INSTANCE_REQUESTS)) {
            return rewriteInstanceRequest(key, value);
        } else if (key.equals(Keys.TYPES)) {
            return MachineType.toJson(MachineType.parseAll(value));
        } else if (key.startsWith(Keys.FINAL_STATES)) {
            return FinalState.parse(value).toJson();
        }
        return null;
    }

    /** Parses an instance request through {@link ClusterState}, the only class that reads them, and writes it back. */
    private static JsonElement rewriteInstanceRequest(String key, JsonObject value) {
        ClusterState clusterState = new ClusterState();
        clusterState.setObserver(new NoOpObserver());
        clusterState.changed(key, value, 1);
        JsonArray all = new JsonArray();
        List<InstanceRequest> requests = new ArrayList<>(clusterState.instanceRequests());
        requests.forEach(request -> all.add(request.toJson()));
        return all.size() == 1 ? all.get(0) : all;
    }
}
