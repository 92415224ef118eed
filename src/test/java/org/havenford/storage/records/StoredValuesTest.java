package org.havenford.storage.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.havenford.protocol.MachineType;
import org.havenford.storage.ClusterState;
import org.junit.jupiter.api.Test;

/** Tests that values stored by earlier versions are read, and written back so that those versions can read them. */
class StoredValuesTest {
    private static final Path SAMPLES = Path.of("src/test/resources/samples");
    private static final int LARGE_LIMIT = 16 * 1024;

    private static Map<String, JsonObject> samples(String file) throws IOException {
        Map<String, JsonObject> samples = new LinkedHashMap<>();
        for (String line : Files.readAllLines(SAMPLES.resolve(file))) {
            int space = line.indexOf(' ');
            samples.put(
                    line.substring(0, space),
                    JsonParser.parseString(line.substring(space + 1)).getAsJsonObject());
        }
        return samples;
    }

    /**
     * Returns the value as this version writes it after reading it; null for kinds that are only written by their
     * creator.
     */
    private static JsonElement rewritten(String key, Map<String, JsonObject> samples) throws Exception {
        JsonObject value = samples.get(key);
        if (key.startsWith(Keys.JOBS)) {
            Job job = Job.parse(value);
            return job.header(job.cancelled());
        } else if (key.startsWith(Keys.TASKS)) {
            String[] path = key.substring(Keys.TASKS.length()).split("/");
            Job job = Job.parse(samples.get(Keys.job(path[0])));
            TaskRange read = job.emptyTaskRange(Integer.parseInt(path[1])).read(value);
            return read.toJson(value.has("s") ? 2048 : LARGE_LIMIT, LARGE_LIMIT, true);
        } else if (key.startsWith(Keys.MACHINES)) {
            return MachineBatch.parse(key.substring(Keys.MACHINES.length()), value)
                    .toJson();
        } else if (key.startsWith(Keys.MACHINE_STATUSES)) {
            return MachineStatuses.parse(value).toJson(LARGE_LIMIT);
        } else if (key.startsWith(Keys.TEAMS)) {
            return TeamQuota.parse(value).toJson();
        } else if (key.equals(Keys.VIEW)) {
            return ClusterView.parse(value).toJson();
        } else if (key.equals(Keys.TYPES)) {
            return MachineType.toJson(MachineType.parseAll(value));
        } else if (key.startsWith(Keys.FINAL_STATES)) {
            return FinalState.parse(value).toJson();
        }
        return null;
    }

    private static void assertRewrittenUnchanged(String file) throws Exception {
        Map<String, JsonObject> samples = samples(file);
        Set<String> kinds = new TreeSet<>();
        for (Map.Entry<String, JsonObject> sample : samples.entrySet()) {
            JsonElement rewritten = rewritten(sample.getKey(), samples);
            if (rewritten != null) {
                kinds.add(sample.getKey().replaceAll("^(final|live/[a-z]+).*", "$1"));
                // Parsed from text, as in a response of the store.
                assertEquals(sample.getValue(), JsonParser.parseString(rewritten.toString()), sample.getKey());
            }
        }
        assertEquals(
                Set.of(
                        "final",
                        "live/heard",
                        "live/job",
                        "live/machine",
                        "live/tasks",
                        "live/team",
                        "live/types",
                        "live/view"),
                kinds);
    }

    @Test
    void format1ValuesAreRewrittenUnchanged() throws Exception {
        assertRewrittenUnchanged("format-1.txt");
    }

    @Test
    void format2ValuesAreRewrittenUnchanged() throws Exception {
        assertRewrittenUnchanged("format-2.txt");
    }

    /** Covers kinds of keys that are not rewritten, such as instance requests and members. */
    @Test
    void clusterStateReadsEveryKey() throws Exception {
        for (String file : List.of("format-1.txt", "format-2.txt")) {
            List<String> members = new ArrayList<>();
            List<ClusterView> views = new ArrayList<>();
            ClusterState clusterState = new ClusterState();
            clusterState.setObserver(observer(members, views));
            long modRevision = 0;
            for (Map.Entry<String, JsonObject> sample : samples(file).entrySet()) {
                clusterState.changed(sample.getKey(), sample.getValue(), ++modRevision);
            }
            assertEquals(5, members.size());
            assertEquals(1, views.size());
            assertFalse(clusterState.instanceRequests().isEmpty());
            assertEquals(90, clusterState.job("j-3").spec().taskCount());
            assertTrue(clusterState.job("j-3").claimCount() > 30);
            assertTrue(clusterState.machines().size() > 5);
            assertEquals(2, clusterState.types().size());
        }
    }

    private static ClusterState.Observer observer(List<String> members, List<ClusterView> views) {
        return new ClusterState.Observer() {
            @Override
            public void viewChanged(ClusterView view, long modRevision) {
                views.add(view);
            }

            @Override
            public void memberChanged(String node, MemberRegistration registration, long modRevision) {
                members.add(node);
            }

            @Override
            public void livenessProbeChanged(String node, LivenessProbe probe, long modRevision) {}

            @Override
            public void machineChanged(String machine) {}

            @Override
            public void changesApplied() {}

            @Override
            public void jobEnded(Job lastState) {}

            @Override
            public void loaded() {}
        };
    }

    /** Earlier versions do not know the end time: it is stored only if needed, and a value without it can be read. */
    @Test
    void finalStatesAreCompatibleWithEarlierVersions() throws Exception {
        FinalState plain = FinalState.of(FinalState.Status.DONE, 7);
        assertEquals("{\"status\":\"done\",\"tasks\":7}", plain.toJson().toString());
        FinalState awaited = new FinalState(FinalState.Status.DONE, 7, Instant.ofEpochMilli(1_700_000_000_000L));
        assertEquals(awaited, FinalState.parse(awaited.toJson()));
        JsonObject withoutEndTime = awaited.toJson();
        withoutEndTime.keySet().retainAll(Set.of("status", "tasks"));
        assertEquals(plain, FinalState.parse(withoutEndTime));
        assertNull(FinalState.parse(withoutEndTime).endedAt());
    }

    /** Guards against the loss of dependency fields when the header of a job with dependencies is rewritten. */
    @Test
    void rewrittenHeadersKeepDependencyFields() throws Exception {
        Map<String, JsonObject> samples = samples("format-2.txt");
        Job released = Job.parse(samples.get("live/job/j-9"));
        assertFalse(released.awaitsDependencies());
        assertEquals(Set.of("j-7"), released.spec().dependencies());
        JsonObject cancelled = released.header(true);
        assertNotNull(cancelled.get("_ready"));
        assertEquals(released.releasedAt(), Job.parse(cancelled).releasedAt());
        assertTrue(Job.parse(samples.get("live/job/j-8")).awaitsDependencies());
    }
}
