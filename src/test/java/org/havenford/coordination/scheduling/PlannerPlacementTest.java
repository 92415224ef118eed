package org.havenford.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.TaskId;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineBatch;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.TaskRange;
import org.havenford.testing.JobSamples;
import org.havenford.testing.NoOpObserver;
import org.junit.jupiter.api.Test;

/** Checks that the placements of one planning round, together with existing claims, meet each job's constraints. */
class PlannerPlacementTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_700_000_000L);
    private static final String SETTINGS = "{\"node_name\":\"n\",\"location\":\"a\",\"bind\":\"n:1\","
            + "\"cluster_listen\":\"n:2\",\"others\":[],\"endpoints\":{\"cloud\":\"c:1\",\"state\":\"s:1\"},"
            + "\"deployment\":{\"teams\":[{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}],"
            + "\"workers\":{\"report_s\":3,\"lease_s\":20,\"cancel_s\":44},"
            + "\"state\":{\"rps\":300,\"write_rps\":150,\"value_kb\":8,\"txn_ops\":12},"
            + "\"cloud\":{\"rps\":5,\"list_lag_s\":4}}}";
    private static final String TYPES = "{\"rigs\":["
            + "{\"name\":\"small\",\"vcpus\":4,\"memGb\":32,\"fetchGbPerS\":0.5,\"halls\":[\"a\",\"b\",\"c\"]},"
            + "{\"name\":\"large\",\"vcpus\":16,\"memGb\":64,\"fetchGbPerS\":0.5,\"halls\":[\"a\",\"b\",\"c\"]}]}";
    /** Tasks per task range; small, so that larger jobs have several ranges. */
    private static final int TASK_RANGE_SIZE = 4;

    private static final int RANDOM_JOBS = 8;
    private static final int RANDOM_SNAPSHOTS = 400;

    private final ClusterState clusterState = new ClusterState();
    private final Map<String, List<String>> images = new HashMap<>();
    private final List<String> owners = new ArrayList<>(List.of("n"));
    private long revision;
    private int nextMachineNumber;

    PlannerPlacementTest() {
        clusterState.setObserver(new NoOpObserver());
        clusterState.changed(Keys.TYPES, JsonParser.parseString(TYPES), ++revision);
    }

    private String machine(String type, String zone, boolean spot, String... cached) {
        String name = String.format("host-%06d", nextMachineNumber++);
        MachineBatch batch = MachineBatch.of("b-" + name, type, zone, spot, NOW.minusSeconds(300), List.of(name));
        clusterState.changed(Keys.batch(batch.name()), batch.toJson(), ++revision);
        images.put(name, List.of(cached));
        return name;
    }

    private static JsonObject job(String id, int tasks, double cpus) {
        JsonObject json = JobSamples.submission(id, tasks, cpus);
        json.addProperty("_at", NOW.minusSeconds(1).toEpochMilli());
        json.addProperty("_chunk", TASK_RANGE_SIZE);
        return json;
    }

    /** Adds a late deadline and a large image, so that the job is placed in several passes of one round. */
    private static JsonObject withLateDeadlineAndLargeImage(JsonObject job) {
        job.addProperty("airtimeS", 160.0);
        job.addProperty("imageGb", 10.0);
        return job;
    }

    private void submit(JsonObject job) {
        clusterState.changed(Keys.job(job.get("nameId").getAsString()), job, ++revision);
    }

    private void claim(String id, int task, String machine) {
        Job job = clusterState.job(id);
        int index = job.taskRangeIndex(task);
        TaskRange taskRange = job.taskRange(index).copy();
        taskRange.claim(task, machine, 1, NOW.minusSeconds(60), "");
        clusterState.changed(Keys.tasks(id, index), taskRange.toJson(), ++revision);
    }

    private Plan plan() throws Exception {
        Planner planner =
                new Planner(clusterState, PlatformSettings.parse(SETTINGS), OperatorSettings.DEFAULTS, this::owner);
        return planner.plan(NOW, new UnconstrainedSnapshot(), new AllMachinesUp());
    }

    /** A snapshot without time limit, contention, back-off or excluded machines. */
    private final class UnconstrainedSnapshot implements PlanningSnapshot {
        @Override
        public Instant monotonicNow() {
            return NOW;
        }

        @Override
        public boolean outOfTime() {
            return false;
        }

        @Override
        public List<String> owners() {
            return owners;
        }

        @Override
        public ClaimQuota claimQuota() {
            return new ClaimQuota("n", Integer.MAX_VALUE);
        }

        @Override
        public boolean isContended() {
            return false;
        }

        @Override
        public boolean isBackingOff(Job job) {
            return false;
        }

        @Override
        public boolean isAvoided(TaskId task, String machine) {
            return false;
        }

        @Override
        public boolean isPassedOver(String taskRangeKey, String owner) {
            return false;
        }

        @Override
        public boolean mayBeClaimedByOthers(String taskRangeKey) {
            return true;
        }
    }

    /** All machines are up and accept tasks; no claim has ended or is in flight. */
    private final class AllMachinesUp implements MachineAvailability {
        @Override
        public MachineRecord.Condition condition(MachineRecord machine) {
            return MachineRecord.Condition.UP;
        }

        @Override
        public List<String> images(MachineRecord machine) {
            return images.get(machine.name());
        }

        @Override
        public Predicate<Instant> acceptsTasksAt(MachineRecord machine) {
            return now -> true;
        }

        @Override
        public boolean hasEnded(Claim claim) {
            return false;
        }

        @Override
        public List<JobSpec> claimsInFlight(String machine) {
            return List.of();
        }
    }

    private String owner(String machine) {
        return owners.get(Math.floorMod(machine.hashCode(), owners.size()));
    }

    /** Counts the claimed and the placed tasks of a job by zone. */
    private Map<String, Integer> tasksByZone(String id, Plan plan) {
        Map<String, Integer> zones = new TreeMap<>();
        for (Claim claim : clusterState.job(id).claims()) {
            MachineRecord machine = clusterState.machine(claim.machine());
            zones.merge(machine == null ? "gone" : machine.zone(), 1, Integer::sum);
        }
        for (Placement placement : plan.placements()) {
            if (placement.task().job().equals(id)) {
                zones.merge(clusterState.machine(placement.machine()).zone(), 1, Integer::sum);
            }
        }
        return zones;
    }

    private static JsonObject with(JsonObject job, String constraint) {
        job.addProperty(constraint, true);
        return job;
    }

    /**
     * Guards against counting the tasks of one pass only: the first pass places a task, and the last one adds tasks to
     * the machine that is pulling the image.
     */
    @Test
    void apartHoldsOverAllPassesOfRound() throws Exception {
        machine("large", "a", false);
        machine("large", "b", false);
        submit(withLateDeadlineAndLargeImage(with(job("j-1", 4, 4), "apart")));
        Map<String, Integer> zones = tasksByZone("j-1", plan());
        assertFalse(zones.isEmpty());
        assertTrue(zones.values().stream().allMatch(n -> n <= 2), zones::toString);
    }

    /**
     * Guards against choosing the zone again in each pass: zone a has the most capacity at first, but zone b, which has
     * the image, has more after the first pass.
     */
    @Test
    void zoneOfTogetherJobIsChosenOncePerRound() throws Exception {
        machine("large", "a", false);
        for (int i = 0; i < 3; i++) {
            machine("small", "b", false, "img");
        }
        submit(withLateDeadlineAndLargeImage(with(job("j-1", 4, 4), "together")));
        Map<String, Integer> zones = tasksByZone("j-1", plan());
        assertEquals(1, zones.size(), zones::toString);
    }

    /** A claim on a machine without a record may be in any zone. */
    @Test
    void unknownZoneLeavesNoZoneForTogetherJob() throws Exception {
        machine("large", "a", false);
        submit(with(job("j-1", 3, 1), "together"));
        claim("j-1", 0, "host-999999");
        assertEquals(List.of(), plan().placements());
        claim("j-1", 1, machine("small", "b", false));
        assertEquals(List.of(), plan().placements(), "not even in the zone of another task");
    }

    @Test
    void unknownZoneCountsInEachZoneOfApartJob() throws Exception {
        machine("large", "a", false);
        submit(with(job("j-1", 4, 1), "apart"));
        claim("j-1", 0, "host-999999");
        assertEquals(1, plan().placements().size());
    }

    /**
     * Placements that violate a constraint, as a faulty plan would have them, are rejected; the others are permitted.
     */
    @Test
    void guardRejectsPlacementsThatViolateConstraints() {
        String inA = machine("large", "a", false);
        String inB = machine("large", "b", false);
        String spotInA = machine("small", "a", true);
        submit(with(job("j-1", 4, 1), "apart"));
        claim("j-1", 0, inA);
        assertEquals(List.of(1, 3), permitted("j-1", inA, inA, inB));
        submit(with(job("j-2", 4, 1), "together"));
        assertEquals(List.of(1, 3), permitted("j-2", inA, inB, inA), "the first placement determines the zone");
        JsonObject restrictedToB = job("j-3", 4, 1);
        restrictedToB.addProperty("hall", "b");
        submit(restrictedToB);
        assertEquals(List.of(2), permitted("j-3", inA, inB, spotInA, "host-999999"));
        JsonObject onlyLarge = job("j-4", 4, 1);
        JsonArray types = new JsonArray();
        types.add("large");
        onlyLarge.add("rigs", types);
        onlyLarge.addProperty("borrowed", false);
        submit(onlyLarge);
        assertEquals(List.of(1), permitted("j-4", inA, spotInA));
    }

    /**
     * Plans task 1 for the first machine, task 2 for the second and so on, and returns the tasks that are permitted.
     */
    private List<Integer> permitted(String id, String... planned) {
        List<Placement> placements = new ArrayList<>();
        for (int i = 0; i < planned.length; i++) {
            placements.add(new Placement(new TaskId(id, i + 1), planned[i]));
        }
        return PlacementGuard.permitted(clusterState.job(id), placements, clusterState).stream()
                .map(placement -> placement.task().index())
                .toList();
    }

    /**
     * Snapshots generated from seeds, with all five constraints alone and combined, and with some tasks already
     * claimed.
     */
    @Test
    void placementsOfRandomSnapshotsMeetAllConstraints() throws Exception {
        for (long seed = 1; seed <= RANDOM_SNAPSHOTS; seed++) {
            PlannerPlacementTest snapshot = new PlannerPlacementTest();
            snapshot.populate(new SplittableRandom(seed));
            snapshot.assertConstraintsMet("seed " + seed, snapshot.plan());
        }
    }

    private void populate(SplittableRandom random) {
        if (random.nextBoolean()) {
            owners.add("o");
        }
        int machineCount = 6 + random.nextInt(20);
        for (int i = 0; i < machineCount; i++) {
            addRandomMachine(random);
        }
        for (int i = 0; i < RANDOM_JOBS; i++) {
            String id = "j-" + i;
            submit(randomJob(id, random));
            if (random.nextInt(3) == 0) {
                claimFirstTask(clusterState.job(id).spec(), random);
            }
        }
    }

    private void addRandomMachine(SplittableRandom random) {
        String type = random.nextInt(3) == 0 ? "large" : "small";
        String zone = randomZone(random);
        boolean spot = random.nextBoolean();
        String[] cached = random.nextInt(3) == 0 ? new String[] {"img-" + random.nextInt(3)} : new String[0];
        machine(type, zone, spot, cached);
    }

    private static JsonObject randomJob(String id, SplittableRandom random) {
        JsonObject json = job(id, 1 + random.nextInt(14), 1 + random.nextInt(4));
        json.addProperty("reel", "img-" + random.nextInt(3));
        addRandomConstraints(json, random);
        if (random.nextInt(3) > 0) {
            withLateDeadlineAndLargeImage(json);
        }
        if (random.nextInt(4) == 0) {
            json.addProperty("urgency", "urgent");
        }
        return json;
    }

    private static void addRandomConstraints(JsonObject json, SplittableRandom random) {
        json.addProperty("together", random.nextInt(3) == 0);
        json.addProperty("apart", random.nextInt(3) == 0);
        json.addProperty("borrowed", random.nextInt(4) > 0);
        if (random.nextInt(4) == 0) {
            json.addProperty("hall", randomZone(random));
        }
        if (random.nextInt(4) == 0) {
            JsonArray types = new JsonArray();
            types.add(random.nextBoolean() ? "small" : "large");
            json.add("rigs", types);
        }
    }

    /** Whether a job's constraints allow a machine; implemented independently of the tested code. */
    private boolean allows(JobSpec spec, MachineRecord machine) {
        return (spec.types() == null || spec.types().contains(machine.type()))
                && (spec.zone() == null || spec.zone().equals(machine.zone()))
                && (spec.spot() || !machine.spot())
                && spec.cpus() <= clusterState.types().get(machine.type()).cpus();
    }

    private static String randomZone(SplittableRandom random) {
        return List.of("a", "b", "c").get(random.nextInt(3));
    }

    /** Claims the first task of a job on an idle machine that the job allows. */
    private void claimFirstTask(JobSpec spec, SplittableRandom random) {
        List<MachineRecord> allowed = new ArrayList<>();
        for (MachineRecord machine : clusterState.machines()) {
            if (allows(spec, machine) && clusterState.claimsOn(machine.name()).isEmpty()) {
                allowed.add(machine);
            }
        }
        allowed.sort(Comparator.comparing(MachineRecord::name));
        if (!allowed.isEmpty()) {
            claim(spec.id(), 0, allowed.get(random.nextInt(allowed.size())).name());
        }
    }

    private void assertConstraintsMet(String seed, Plan plan) {
        for (Placement placement : plan.placements()) {
            MachineRecord machine = clusterState.machine(placement.machine());
            JobSpec spec = clusterState.job(placement.task().job()).spec();
            assertTrue(allows(spec, machine), () -> seed + ": " + placement.task() + " on " + machine);
        }
        for (Job job : clusterState.jobs()) {
            JobSpec spec = job.spec();
            Map<String, Integer> zones = tasksByZone(job.id(), plan);
            assertTrue(!spec.together() || zones.size() <= 1, () -> seed + ": together " + job.id() + " " + zones);
            boolean apart = zones.values().stream().allMatch(n -> n <= (spec.taskCount() + 1) / 2);
            assertTrue(
                    !spec.apart() || apart,
                    () -> seed + ": apart " + job.id() + ", " + spec.taskCount() + " tasks, " + zones);
        }
    }
}
