package org.havenford.storage;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.protocol.TaskId;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.InstanceRequest;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.LivenessProbe;
import org.havenford.storage.records.MachineBatch;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineStatuses;
import org.havenford.storage.records.MemberRegistration;
import org.havenford.storage.records.TeamQuota;
import org.havenford.storage.records.TeamQuota.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The replicated keys as typed state: jobs, machines, claims, quotas and instance requests. */
public final class ClusterState implements StoreReplica.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);
    private static final TeamQuota NO_QUOTA = new TeamQuota();

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

    /** Takes up the changes of the keys with one prefix. */
    private interface ValueHandler {
        /** {@code name} is the key without its prefix; {@code value} is null when the key is gone. */
        void changed(String name, JsonObject value, long modRevision) throws MalformedMessageException;
    }

    private record KeyKind(String prefix, ValueHandler handler) {}

    private final ClaimIndex claimIndex = new ClaimIndex();
    private final JobTable jobTable = new JobTable(claimIndex);
    private final MachineTable machineTable = new MachineTable();
    private final TreeMap<String, InstanceRequest> instanceRequests = new TreeMap<>();
    private final Map<String, MachineType> types = new TreeMap<>();
    /** By key. */
    private final Map<String, TeamQuota> quotas = new HashMap<>();

    private final KeyKind[] keyKinds = {
        new KeyKind(Keys.TASKS, (path, value, modRevision) -> jobTable.taskRangeChanged(path, value)),
        new KeyKind(Keys.JOBS, (id, value, modRevision) -> jobTable.headerChanged(id, value)),
        new KeyKind(Keys.MACHINES, this::batchChanged),
        new KeyKind(Keys.MACHINE_STATUSES, this::statusesChanged),
        new KeyKind(Keys.INSTANCE_REQUESTS, this::instanceRequestChanged),
        new KeyKind(Keys.TEAMS, this::quotaChanged),
        new KeyKind(Keys.MEMBERS, this::memberChanged),
        new KeyKind(Keys.LIVENESS_PROBES, this::livenessProbeChanged)
    };

    private Observer observer;

    /** Sets who is told of changes. */
    public void setObserver(Observer observer) {
        this.observer = observer;
        claimIndex.setObserver(observer);
        jobTable.setObserver(observer);
        machineTable.setObserver(observer);
    }

    // ---- jobs

    /** Jobs that are not over, by id. */
    public Collection<Job> jobs() {
        return jobTable.jobs();
    }

    /** A job that is not over, or null. */
    public Job job(String id) {
        return jobTable.job(id);
    }

    /** Whether nobody wants a claim's task any more: its job is cancelled, or over. */
    public boolean isCancelled(Claim claim) {
        Job job = job(claim.task().job());
        return job == null || job.cancelled();
    }

    /** Jobs that wait for others. */
    public Collection<String> jobsAwaitingDependencies() {
        return jobTable.dependents().awaitingDependencies();
    }

    /** Waiting jobs that name the given one. */
    public Set<String> dependents(String id) {
        return jobTable.dependents().of(id);
    }

    /** Counts the changes of waiting jobs and of jobs that they name. */
    public long pipelineChanges() {
        return jobTable.dependents().changes();
    }

    /** Task ranges, as ID/INDEX, whose job is over or not read yet. */
    public Collection<String> taskRangesWithoutJob() {
        return jobTable.taskRangesWithoutJob();
    }

    // ---- machines

    /** All machines on record. */
    public Collection<MachineRecord> machines() {
        return machineTable.machines();
    }

    /** What is known of a machine, or null. */
    public MachineRecord machine(String name) {
        return machineTable.machine(name);
    }

    /** Names of the batches that a machine is in: one, unless it was found before its rental was answered. */
    public Set<String> batchesOf(String machine) {
        return machineTable.batchesOf(machine);
    }

    /** When a machine on record was rented, or found, by the time of day. */
    public Instant rentedAt(String machine) {
        return machineTable.rentedAt(machine);
    }

    /** A batch of machines, or null. */
    public MachineBatch batch(String name) {
        return machineTable.batch(name);
    }

    /** Intents to rent that are not settled. */
    public Collection<InstanceRequest> instanceRequests() {
        return instanceRequests.values();
    }

    /** What the cloud offers, by name. */
    public Map<String, MachineType> types() {
        return types;
    }

    // ---- claims and quotas

    /** Claims on a machine, by task. */
    public Map<TaskId, Claim> claimsOn(String machine) {
        return claimIndex.claimsOn(machine);
    }

    /** Machines with claims. */
    public Collection<String> claimedMachines() {
        return claimIndex.claimedMachines();
    }

    /** What the claims of a team hold, those not confirmed gone included. */
    public Resources usage(String team) {
        return claimIndex.usage(team);
    }

    /** What the claims of a team hold that are charged to one controller's share. */
    public Resources charged(String team, String quotaHolder) {
        return claimIndex.usage(team, quotaHolder);
    }

    /** The shares of a team's limit. */
    public TeamQuota quota(String team) {
        return quotas.getOrDefault(Keys.team(team), NO_QUOTA);
    }

    // ---- changes of keys

    @Override
    public void changed(String key, JsonElement value, long modRevision) {
        try {
            apply(key, value == null ? null : value.getAsJsonObject(), modRevision);
        } catch (MalformedMessageException | IllegalStateException | IllegalArgumentException e) {
            LOG.error("stored value cannot be read: key={} error={}", key, e.getMessage());
        }
    }

    private void apply(String key, JsonObject value, long modRevision) throws MalformedMessageException {
        for (KeyKind kind : keyKinds) {
            if (key.startsWith(kind.prefix)) {
                kind.handler.changed(key.substring(kind.prefix.length()), value, modRevision);
                return;
            }
        }
        if (key.equals(Keys.VIEW)) {
            observer.viewChanged(value == null ? null : ClusterView.parse(value), modRevision);
        } else if (key.equals(Keys.TYPES) && value != null) {
            typesChanged(value);
        }
    }

    private void batchChanged(String name, JsonObject value, long modRevision) throws MalformedMessageException {
        machineTable.batchChanged(name, value == null ? null : MachineBatch.parse(name, value));
    }

    private void statusesChanged(String part, JsonObject value, long modRevision) throws MalformedMessageException {
        if (value != null) {
            machineTable.statusesChanged(MachineStatuses.parse(value));
        }
    }

    private void instanceRequestChanged(String name, JsonObject value, long modRevision)
            throws MalformedMessageException {
        if (value == null) {
            instanceRequests.remove(name);
        } else {
            instanceRequests.put(name, InstanceRequest.parse(name, value));
        }
    }

    private void quotaChanged(String name, JsonObject value, long modRevision) throws MalformedMessageException {
        String key = Keys.TEAMS + name;
        if (value == null) {
            quotas.remove(key);
        } else {
            quotas.put(key, TeamQuota.parse(value));
        }
    }

    private void memberChanged(String node, JsonObject value, long modRevision) throws MalformedMessageException {
        observer.memberChanged(node, value == null ? null : MemberRegistration.parse(value), modRevision);
    }

    private void livenessProbeChanged(String node, JsonObject value, long modRevision) {
        observer.livenessProbeChanged(node, value == null ? null : LivenessProbe.parse(value), modRevision);
    }

    private void typesChanged(JsonObject value) throws MalformedMessageException {
        types.clear();
        for (MachineType type : MachineType.parseAll(value)) {
            types.put(type.name(), type);
        }
        machineTable.notifyAllChanged();
    }

    @Override
    public void loaded() {
        observer.loaded();
    }

    @Override
    public void changesApplied() {
        observer.changesApplied();
    }
}
