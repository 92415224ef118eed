package org.havenford.coordination.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.havenford.coordination.placement.PlacementRules.Verdict;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.testing.JobSamples;
import org.junit.jupiter.api.Test;

/** Tests each placement constraint alone and combined, with other tasks in known and unknown zones. */
class PlacementRulesTest {
    private static final MachineType SMALL = type("small", 4);
    private static final MachineType LARGE = type("large", 16);

    private static MachineType type(String name, double cpus) {
        return new MachineType(name, cpus, 0, 32, 40, 0.5, 1, 0.3, Duration.ofSeconds(30), List.of("a", "b", "c"));
    }

    /** A job with two CPUs per task; {@code constraints} may hold together, apart, onDemand, zone and types. */
    private static JobSpec spec(int tasks, Map<String, Object> constraints) throws Exception {
        JsonObject json = JobSamples.submission("j-1", tasks, 2);
        json.addProperty("together", constraints.containsKey("together"));
        json.addProperty("apart", constraints.containsKey("apart"));
        json.addProperty("borrowed", !constraints.containsKey("onDemand"));
        if (constraints.containsKey("zone")) {
            json.addProperty("hall", (String) constraints.get("zone"));
        }
        if (constraints.containsKey("types")) {
            JsonArray types = new JsonArray();
            ((List<?>) constraints.get("types")).forEach(t -> types.add((String) t));
            json.add("rigs", types);
        }
        return JobSpec.parse(json);
    }

    private static TaskZones in(String... zones) {
        TaskZones all = new TaskZones();
        for (String zone : zones) {
            if (zone.equals("unknown")) {
                all.addUnknown();
            } else {
                all.add(zone);
            }
        }
        return all;
    }

    private static Verdict check(JobSpec spec, MachineType type, String zone, boolean spot, String... others) {
        return PlacementRules.checkTask(spec, type, zone, spot, in(others));
    }

    @Test
    void taskMustFitMachineType() throws Exception {
        MachineType tiny = type("tiny", 1);
        assertEquals(Verdict.TOO_SMALL, check(spec(1, Map.of()), tiny, "a", false));
        assertEquals(Verdict.ALLOWED, check(spec(1, Map.of()), SMALL, "a", true));
    }

    @Test
    void restrictsMachineTypes() throws Exception {
        JobSpec large = spec(1, Map.of("types", List.of("large")));
        assertEquals(Verdict.WRONG_TYPE, check(large, SMALL, "a", false));
        assertEquals(Verdict.ALLOWED, check(large, LARGE, "a", false));
        assertEquals(
                Verdict.WRONG_TYPE,
                check(spec(1, Map.of("types", List.of())), LARGE, "a", false),
                "empty set of types");
    }

    @Test
    void restrictsZone() throws Exception {
        JobSpec inB = spec(1, Map.of("zone", "b"));
        assertEquals(Verdict.WRONG_ZONE, check(inB, SMALL, "a", false));
        assertEquals(Verdict.ALLOWED, check(inB, SMALL, "b", false));
    }

    @Test
    void restrictsSpotMachines() throws Exception {
        JobSpec onDemandOnly = spec(1, Map.of("onDemand", true));
        assertEquals(Verdict.SPOT, check(onDemandOnly, SMALL, "a", true));
        assertEquals(Verdict.ALLOWED, check(onDemandOnly, SMALL, "a", false));
    }

    @Test
    void together() throws Exception {
        JobSpec together = spec(5, Map.of("together", true));
        assertEquals(Verdict.ALLOWED, check(together, SMALL, "a", false));
        assertEquals(Verdict.ALLOWED, check(together, SMALL, "a", false, "a", "a"));
        assertEquals(Verdict.NOT_TOGETHER, check(together, SMALL, "b", false, "a"));
        assertEquals(Verdict.NOT_TOGETHER, check(together, SMALL, "a", false, "a", "b"), "already split between zones");
        assertEquals(Verdict.NOT_TOGETHER, check(together, SMALL, "a", false, "a", "unknown"));
        assertEquals(Verdict.NOT_TOGETHER, check(together, SMALL, "a", false, "unknown"));
    }

    @Test
    void apart() throws Exception {
        JobSpec nine = spec(9, Map.of("apart", true));
        assertEquals(Verdict.ALLOWED, check(nine, SMALL, "a", false, "a", "a", "a", "a"), "five of nine");
        assertEquals(Verdict.NOT_APART, check(nine, SMALL, "a", false, "a", "a", "a", "a", "a"));
        assertEquals(Verdict.ALLOWED, check(nine, SMALL, "b", false, "a", "a", "a", "a", "a"));
        assertEquals(Verdict.NOT_APART, check(nine, SMALL, "b", false, "b", "b", "b", "unknown", "unknown"));
        assertEquals(Verdict.ALLOWED, check(spec(1, Map.of("apart", true)), SMALL, "a", false), "one of one");
    }

    /** Both constraints leave one zone with at most half of the tasks at a time. */
    @Test
    void togetherAndApart() throws Exception {
        JobSpec both = spec(4, Map.of("together", true, "apart", true));
        assertEquals(Verdict.ALLOWED, check(both, SMALL, "a", false, "a"));
        assertEquals(Verdict.NOT_APART, check(both, SMALL, "a", false, "a", "a"));
        assertEquals(Verdict.NOT_TOGETHER, check(both, SMALL, "b", false, "a"));
    }

    @Test
    void machineConstraintsAreCheckedFirst() throws Exception {
        JobSpec all = spec(4, Map.of("types", List.of("large"), "zone", "a", "onDemand", true, "apart", true));
        assertEquals(Verdict.WRONG_TYPE, check(all, SMALL, "b", true, "a", "a"));
        assertEquals(Verdict.WRONG_ZONE, check(all, LARGE, "b", true, "a", "a"));
        assertEquals(Verdict.SPOT, check(all, LARGE, "a", true, "a", "a"));
        assertEquals(Verdict.NOT_APART, check(all, LARGE, "a", false, "a", "a"));
        assertEquals(Verdict.ALLOWED, check(all, LARGE, "a", false, "a", "b"));
    }
}
