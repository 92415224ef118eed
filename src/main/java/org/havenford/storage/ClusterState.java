package org.havenford.storage;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.Json;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.TaskId;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.InstanceRequest;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.LivenessProbe;
import org.havenford.storage.records.MachineBatch;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;
import org.havenford.storage.records.MachineStatuses;
import org.havenford.storage.records.MemberRegistration;
import org.havenford.storage.records.TaskRange;
import org.havenford.storage.records.TeamQuota;
import org.havenford.storage.records.TeamQuota.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The mirrored keys in the terms of the field: jobs, tasks, machines, bookings. */
public final class ClusterState implements StoreReplica.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);

    /** What an owner last said of a machine, and since when it has been in that condition. */
    private record ReportedStatus(MachineStatuses.Status status, Instant at, Instant since) {}

    /** Hears of keys that concern membership, and of every end of a batch of changes. */
    public interface Observer {
        /** The stored view has changed; {@code view} is null when it is gone. */
        void viewChanged(ClusterView view, long modRevision);

        /** A member has registered; {@code registration} is null when it is gone. */
        void memberChanged(String node, MemberRegistration registration, long modRevision);

        /** A member is asked whether it is alive; {@code probe} is null when the question is gone. */
        void livenessProbeChanged(String node, LivenessProbe probe, long modRevision);

        /** The claims on a machine, or its record, have changed, or what is wanted of them. */
        void machineChanged(String machine);

        /** A batch of changes has been told. */
        void changesApplied();

        /** A job is over, and its header gone; {@code last} is what was known of it before. */
        void jobEnded(Job last);

        /** All keys have been read. */
        void loaded();
    }

    private static final TeamQuota NO_QUOTA = new TeamQuota();

    /** In order, so that all controllers go through them alike; and by id, since nothing is looked up as often. */
    private final TreeMap<String, Job> jobs = new TreeMap<>();

    private final Object2ObjectOpenHashMap<String, Job> jobsById = new Object2ObjectOpenHashMap<>();
    /** Jobs that wait for others. */
    private final TreeSet<String> jobsAwaitingDependencies = new TreeSet<>();
    /** Waiting jobs by the jobs that they name. */
    private final Map<String, Set<String>> dependents = new HashMap<>();

    private long pipelineChanges;

    private final Object2ObjectOpenHashMap<String, MachineRecord> machines = new Object2ObjectOpenHashMap<>();
    private final Map<String, MachineBatch> batches = new HashMap<>();
    private final Map<String, Set<String>> batchesOf = new HashMap<>();
    private final Map<String, ReportedStatus> reportedStatuses = new HashMap<>();
    private final Object2ObjectOpenHashMap<String, Map<TaskId, Claim>> claims = new Object2ObjectOpenHashMap<>();
    private final TreeMap<String, InstanceRequest> instanceRequests = new TreeMap<>();
    private final Map<String, MachineType> types = new TreeMap<>();
    /** Chunks without a job: while keys come one by one, its header is still to come; afterwards the job is over. */
    private final Map<String, JsonObject> taskRangesWithoutJob = new HashMap<>();
    /** By team and account. */
    private final Map<String, Map<String, Resources>> charged = new HashMap<>();

    private final Map<String, TeamQuota> quotas = new HashMap<>();
    private Observer setObserver;

    /** Sets who is told of changes. */
    public void setObserver(Observer o) {
        setObserver = o;
    }

    /** Jobs that are not over, by id. */
    public Collection<Job> jobs() {
        return jobs.values();
    }

    /** A job that is not over, or null. */
    public Job job(String id) {
        return jobsById.get(id);
    }

    /** Whether nobody wants a claim's task any more: its job is cancelled, or over. */
    public boolean isCancelled(Claim claim) {
        Job job = job(claim.task().job());
        return job == null || job.cancelled();
    }

    /** Jobs that wait for others. */
    public Collection<String> jobsAwaitingDependencies() {
        return jobsAwaitingDependencies;
    }

    /** Waiting jobs that name the given one. */
    public Set<String> dependents(String id) {
        return dependents.getOrDefault(id, Set.of());
    }

    /** Counts the changes of waiting jobs and of jobs that they name. */
    public long pipelineChanges() {
        return pipelineChanges;
    }

    /** All machines on record. */
    public Collection<MachineRecord> machines() {
        return machines.values();
    }

    /** What is known of a machine, or null. */
    public MachineRecord machine(String name) {
        return machines.get(name);
    }

    /** Names of the batches that a machine is in: one, unless it was found before its rental was answered. */
    public Set<String> batchesOf(String machine) {
        return batchesOf.getOrDefault(machine, Set.of());
    }

    /** When a machine on record was rented, or found, by the time of day. */
    public Instant rentedAt(String machine) {
        return batches.get(batchesOf.get(machine).iterator().next()).since();
    }

    /** A batch of machines, or null. */
    public MachineBatch batch(String name) {
        return batches.get(name);
    }

    /** Claims on a machine, by task. */
    public Map<TaskId, Claim> claimsOn(String machine) {
        return claims.getOrDefault(machine, Map.of());
    }

    /** Machines with claims. */
    public Collection<String> claimedMachines() {
        return List.copyOf(claims.keySet());
    }

    /** Intents to rent that are not settled. */
    public Collection<InstanceRequest> instanceRequests() {
        return instanceRequests.values();
    }

    /** Records of tasks, as ID/CHUNK, whose job is over or not read yet. */
    public Collection<String> taskRangesWithoutJob() {
        return taskRangesWithoutJob.keySet();
    }

    /** What the cloud offers, by name. */
    public Map<String, MachineType> types() {
        return types;
    }

    /** What the claims of a team hold, those not confirmed gone included. */
    public Resources usage(String team) {
        Resources sum = Resources.NONE;
        for (Resources amount : charged.getOrDefault(team, Map.of()).values()) {
            sum = sum.plus(amount);
        }
        return sum;
    }

    /** What the claims of a team hold that are charged to one controller's share. */
    public Resources charged(String team, String account) {
        return charged.getOrDefault(team, Map.of()).getOrDefault(account, Resources.NONE);
    }

    /** The shares of a team's limit. */
    public TeamQuota quota(String team) {
        return quotas.getOrDefault(Keys.team(team), NO_QUOTA);
    }

    private void charge(Claim claim, JobSpec spec, int sign) {
        Map<String, Resources> of = charged.computeIfAbsent(spec.team(), t -> new HashMap<>());
        of.merge(claim.quotaHolder(), new Resources(sign * spec.cpus(), sign * spec.gpus()), Resources::plus);
    }

    @Override
    public void changed(String key, JsonElement value, long stamp) {
        try {
            apply(key, value == null ? null : value.getAsJsonObject(), stamp);
        } catch (Json.BadMessage | IllegalStateException | IllegalArgumentException e) {
            LOG.error("the value of {} can't be read: {}", key, e.getMessage());
        }
    }

    private void apply(String key, JsonObject value, long stamp) throws Json.BadMessage {
        if (key.startsWith(Keys.TASKS)) {
            tasksChanged(key.substring(Keys.TASKS.length()), value);
        } else if (key.startsWith(Keys.JOBS)) {
            jobChanged(key.substring(Keys.JOBS.length()), value);
        } else if (key.startsWith(Keys.MACHINES)) {
            String name = key.substring(Keys.MACHINES.length());
            batchChanged(name, value == null ? null : MachineBatch.parse(name, value));
        } else if (key.startsWith(Keys.MACHINE_STATUSES)) {
            if (value != null) {
                applyStatuses(MachineStatuses.parse(value));
            }
        } else if (key.startsWith(Keys.INSTANCE_REQUESTS)) {
            String name = key.substring(Keys.INSTANCE_REQUESTS.length());
            if (value == null) {
                instanceRequests.remove(name);
            } else {
                instanceRequests.put(name, InstanceRequest.parse(name, value));
            }
        } else if (key.startsWith(Keys.TEAMS)) {
            if (value == null) {
                quotas.remove(key);
            } else {
                quotas.put(key, TeamQuota.parse(value));
            }
        } else if (key.startsWith(Keys.MEMBERS)) {
            String node = key.substring(Keys.MEMBERS.length());
            setObserver.memberChanged(node, value == null ? null : MemberRegistration.parse(value), stamp);
        } else if (key.startsWith(Keys.LIVENESS_PROBES)) {
            String node = key.substring(Keys.LIVENESS_PROBES.length());
            setObserver.livenessProbeChanged(node, value == null ? null : LivenessProbe.parse(value), stamp);
        } else if (key.equals(Keys.VIEW)) {
            setObserver.viewChanged(value == null ? null : ClusterView.parse(value), stamp);
        } else if (key.equals(Keys.TYPES) && value != null) {
            types.clear();
            for (MachineType type : MachineType.parseAll(value)) {
                types.put(type.name(), type);
            }
            machines.keySet().forEach(setObserver::machineChanged);
        }
    }

    private void batchChanged(String name, MachineBatch after) {
        MachineBatch before = after == null ? batches.remove(name) : batches.put(name, after);
        Set<String> touched = new TreeSet<>();
        Set<String> gone = new HashSet<>();
        if (before != null) {
            for (String m : before.machines().keySet()) {
                touched.add(m);
                Set<String> of = batchesOf.get(m);
                of.remove(name);
                if (of.isEmpty()) {
                    batchesOf.remove(m);
                    gone.add(m);
                }
            }
        }
        if (after != null) {
            for (String m : after.machines().keySet()) {
                touched.add(m);
                batchesOf.computeIfAbsent(m, k -> new TreeSet<>()).add(name);
            }
        }
        gone.removeIf(batchesOf::containsKey);
        reportedStatuses.keySet().removeAll(gone);
        touched.forEach(this::rebuildMachine);
    }

    private void applyStatuses(MachineStatuses h) {
        h.machines().forEach((machine, status) -> {
            ReportedStatus before = reportedStatuses.get(machine);
            if (before == null || !before.at.isAfter(h.at())) {
                Instant since =
                        before != null && before.status.condition() == status.condition() ? before.since : h.at();
                reportedStatuses.put(machine, new ReportedStatus(status, h.at(), since));
                rebuildMachine(machine);
            }
        });
    }

    /** Puts together what batches and owners say of a machine. One that is in two batches is to go if either says so. */
    private void rebuildMachine(String machine) {
        Set<String> of = batchesOf.get(machine);
        MachineRecord after = null;
        // While keys come one by one, owners' words come before the batches: they are kept until the machine goes.
        if (of != null) {
            MachineBatch b = batches.get(of.iterator().next());
            MachineBatch.ServiceState service = MachineBatch.ServiceState.IN_SERVICE;
            for (String name : of) {
                MachineBatch.ServiceState s = batches.get(name).machines().get(machine);
                service = s.compareTo(service) > 0 ? s : service;
            }
            ReportedStatus s = reportedStatuses.get(machine);
            Condition c =
                    switch (service) {
                        case RETIRING -> Condition.RETIRING;
                        case RETURNING -> Condition.RETURNING;
                        case IN_SERVICE -> s == null ? Condition.BOOTING : s.status.condition();
                    };
            after = new MachineRecord(
                    machine,
                    b.type(),
                    b.zone(),
                    b.spot(),
                    c,
                    s == null ? b.since() : s.since,
                    s == null ? List.of() : s.status.images());
        }
        MachineRecord before = after == null ? machines.remove(machine) : machines.put(machine, after);
        if (!Objects.equals(before, after)) {
            setObserver.machineChanged(machine);
        }
    }

    private void jobChanged(String id, JsonObject value) throws Json.BadMessage {
        Job before = jobsById.get(id);
        if (value == null) {
            jobs.remove(id);
            jobsById.remove(id);
            removeDependent(before);
            if (before != null) {
                before.claims().forEach(claim -> unindex(claim, before.spec()));
                setObserver.jobEnded(before);
                for (int i = 0; i < before.taskRangeCount(); i++) {
                    if (before.storedTaskRange(i) != null) {
                        taskRangesWithoutJob.put(id + "/" + i, new JsonObject());
                    }
                }
            }
            return;
        }
        Job job = Job.parse(value);
        jobs.put(id, job);
        jobsById.put(id, job);
        removeDependent(before);
        if (job.awaitsDependencies()) {
            addDependent(job);
        }
        if (dependents.containsKey(id)) {
            pipelineChanges++;
        }
        if (before != null) {
            for (int i = 0; i < job.taskRangeCount(); i++) {
                job.replace(i, before.storedTaskRange(i));
            }
            before.claims().forEach(claim -> setObserver.machineChanged(claim.machine()));
        }
        if (!taskRangesWithoutJob.isEmpty()) {
            for (String path : List.copyOf(taskRangesWithoutJob.keySet())) {
                if (path.startsWith(id + "/")) {
                    tasksChanged(path, taskRangesWithoutJob.remove(path));
                }
            }
        }
    }

    private void addDependent(Job job) {
        pipelineChanges++;
        jobsAwaitingDependencies.add(job.id());
        for (String needed : job.spec().dependencies()) {
            dependents.computeIfAbsent(needed, k -> new TreeSet<>()).add(job.id());
        }
    }

    private void removeDependent(Job before) {
        if (before == null || !jobsAwaitingDependencies.remove(before.id())) {
            return;
        }
        pipelineChanges++;
        for (String needed : before.spec().dependencies()) {
            Set<String> of = dependents.get(needed);
            of.remove(before.id());
            if (of.isEmpty()) {
                dependents.remove(needed);
            }
        }
    }

    private void tasksChanged(String path, JsonObject value) throws Json.BadMessage {
        int slash = path.indexOf('/');
        Job job = jobsById.get(path.substring(0, slash));
        if (job == null) {
            if (value == null) {
                taskRangesWithoutJob.remove(path);
            } else {
                taskRangesWithoutJob.put(path, value);
            }
            return;
        }
        int index = Integer.parseInt(path.substring(slash + 1));
        TaskRange before = job.storedTaskRange(index);
        TaskRange after = value == null ? null : job.emptyTaskRange(index).read(value);
        if (before != null) {
            for (Claim claim : before.claims()) {
                if (after == null || !claim.equals(after.claim(claim.task().index()))) {
                    unindex(claim, job.spec());
                }
            }
        }
        job.replace(index, after);
        if (after != null) {
            for (Claim claim : after.claims()) {
                if (before == null || !claim.equals(before.claim(claim.task().index()))) {
                    claims.computeIfAbsent(claim.machine(), m -> new TreeMap<>())
                            .put(claim.task(), claim);
                    charge(claim, job.spec(), 1);
                    setObserver.machineChanged(claim.machine());
                }
            }
        }
    }

    private void unindex(Claim claim, JobSpec spec) {
        Map<TaskId, Claim> on = claims.get(claim.machine());
        if (on != null) {
            on.remove(claim.task(), claim);
            if (on.isEmpty()) {
                claims.remove(claim.machine());
            }
        }
        charge(claim, spec, -1);
        setObserver.machineChanged(claim.machine());
    }

    @Override
    public void loaded() {
        setObserver.loaded();
    }

    @Override
    public void changesApplied() {
        setObserver.changesApplied();
    }
}
