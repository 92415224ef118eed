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

    /** Receives changes of membership and machines, ends of jobs, and the end of each batch of changes. */
    public interface Observer {
        /** Called when the stored view has changed; {@code view} is null if it was deleted. */
        void viewChanged(ClusterView view, long modRevision);

        /** Called when the registration of a member has changed; {@code registration} is null if it was deleted. */
        void memberChanged(String node, MemberRegistration registration, long modRevision);

        /** Called when a liveness probe of a member has changed; {@code probe} is null if it was deleted. */
        void livenessProbeChanged(String node, LivenessProbe probe, long modRevision);

        /**
         * Called when a machine's record, a claim on it, the header of a claim's job or the machine types have changed.
         */
        void machineChanged(String machine);

        /** Called after each batch of changes. */
        void changesApplied();

        /** Called when the header of a job was deleted, which ends the job; {@code last} is its last known state. */
        void jobEnded(Job last);

        /** Called when all keys have been read, at the start and after each reload. */
        void loaded();
    }

    /** Applies the changes of the keys with one prefix. */
    private interface ValueHandler {
        /**
         * Applies a change; {@code name} is the key without its prefix, {@code value} is null if the key was deleted.
         */
        void apply(String name, JsonObject value, long modRevision) throws MalformedMessageException;
    }

    private record PrefixHandler(String prefix, ValueHandler handler) {}

    private final ClaimIndex claimIndex = new ClaimIndex();
    private final JobTable jobTable = new JobTable(claimIndex);
    private final MachineTable machineTable = new MachineTable();
    private final TreeMap<String, InstanceRequest> instanceRequests = new TreeMap<>();
    private final Map<String, MachineType> types = new TreeMap<>();
    /** Quotas of the teams, by key. */
    private final Map<String, TeamQuota> quotas = new HashMap<>();

    private final PrefixHandler[] prefixHandlers = {
        new PrefixHandler(Keys.TASKS, (path, value, modRevision) -> jobTable.taskRangeChanged(path, value)),
        new PrefixHandler(Keys.JOBS, (id, value, modRevision) -> jobTable.headerChanged(id, value)),
        new PrefixHandler(Keys.MACHINES, this::batchChanged),
        new PrefixHandler(Keys.MACHINE_STATUSES, this::statusesChanged),
        new PrefixHandler(Keys.INSTANCE_REQUESTS, this::instanceRequestChanged),
        new PrefixHandler(Keys.TEAMS, this::quotaChanged),
        new PrefixHandler(Keys.MEMBERS, this::memberChanged),
        new PrefixHandler(Keys.LIVENESS_PROBES, this::livenessProbeChanged)
    };

    private Observer observer;

    /** Sets the observer of changes; required before the first change is applied. */
    public void setObserver(Observer observer) {
        this.observer = observer;
        claimIndex.setObserver(observer);
        jobTable.setObserver(observer);
        machineTable.setObserver(observer);
    }

    /** Returns the jobs that have not ended, in the order of their ids. */
    public Collection<Job> jobs() {
        return jobTable.jobs();
    }

    /** Returns a job that has not ended, or null. */
    public Job job(String id) {
        return jobTable.job(id);
    }

    /** Returns whether a claim's task is no longer needed, since its job is cancelled or has ended. */
    public boolean isCancelled(Claim claim) {
        Job job = job(claim.task().job());
        return job == null || job.cancelled();
    }

    /** Returns the ids of the jobs that wait for their dependencies. */
    public Collection<String> jobsAwaitingDependencies() {
        return jobTable.dependents().awaitingDependencies();
    }

    /** Returns the ids of the waiting jobs that depend on the given job. */
    public Set<String> dependents(String id) {
        return jobTable.dependents().dependentsOf(id);
    }

    /** Returns the number of changes so far of waiting jobs and of the jobs that they depend on. */
    public long dependencyChangeCount() {
        return jobTable.dependents().changeCount();
    }

    /** Returns the task ranges, as ID/INDEX, whose job has ended or has not been read yet. */
    public Collection<String> taskRangesWithoutJob() {
        return jobTable.taskRangesWithoutJob();
    }

    /** Returns the records of all machines. */
    public Collection<MachineRecord> machines() {
        return machineTable.machines();
    }

    /** Returns the record of a machine, or null. */
    public MachineRecord machine(String name) {
        return machineTable.machine(name);
    }

    /**
     * Returns the names of the batches that a machine is in. There is one, unless the machine was found before the
     * cloud answered the instance request that launched it.
     */
    public Set<String> batchNamesOf(String machine) {
        return machineTable.batchNamesOf(machine);
    }

    /** Returns the time of day at which a machine on record was launched or adopted. */
    public Instant launchedAt(String machine) {
        return machineTable.launchedAt(machine);
    }

    /** Returns a batch of machines, or null. */
    public MachineBatch batch(String name) {
        return machineTable.batch(name);
    }

    /** Returns the instance requests that are stored, which are those not settled yet. */
    public Collection<InstanceRequest> instanceRequests() {
        return instanceRequests.values();
    }

    /** Returns the machine types that the cloud offers, by name. */
    public Map<String, MachineType> types() {
        return types;
    }

    /** Returns the claims on a machine, by task. */
    public Map<TaskId, Claim> claimsOn(String machine) {
        return claimIndex.claimsOn(machine);
    }

    /** Returns a copy of the names of the machines with claims. */
    public Collection<String> claimedMachines() {
        return claimIndex.claimedMachines();
    }

    /** Returns the resources held by all claims of a team; a claim counts until it is released. */
    public Resources usage(String team) {
        return claimIndex.usage(team);
    }

    /** Returns the resources held by those claims of a team that are charged to one controller's share. */
    public Resources usage(String team, String quotaHolder) {
        return claimIndex.usage(team, quotaHolder);
    }

    /** Returns the shares of a team's limit; no controller holds a share if none are stored. */
    public TeamQuota quota(String team) {
        return quotas.getOrDefault(Keys.team(team), NO_QUOTA);
    }

    @Override
    public void changed(String key, JsonElement value, long modRevision) {
        try {
            apply(key, value == null ? null : value.getAsJsonObject(), modRevision);
        } catch (MalformedMessageException | IllegalStateException | IllegalArgumentException e) {
            LOG.error("stored value cannot be read: key={} error={}", key, e.getMessage());
        }
    }

    private void apply(String key, JsonObject value, long modRevision) throws MalformedMessageException {
        for (PrefixHandler entry : prefixHandlers) {
            if (key.startsWith(entry.prefix)) {
                entry.handler.apply(key.substring(entry.prefix.length()), value, modRevision);
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
