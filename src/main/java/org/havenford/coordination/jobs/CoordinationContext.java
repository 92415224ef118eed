package org.havenford.coordination.jobs;

import com.google.gson.JsonObject;
import org.havenford.coordination.membership.Membership;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.ConditionalWriter;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.TransactionLimits;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.TaskRange;
import org.havenford.transport.EventLoop;

/** Shared dependencies of scheduling, provisioning and the job API: settings, membership and access to the store. */
public record CoordinationContext(
        EventLoop loop,
        PlatformSettings settings,
        StoreAccess storeAccess,
        Membership membership,
        FinalStateCache finalStates,
        PipelineMetrics pipelineMetrics) {
    /** Returns the typed view of the replica. */
    public ClusterState clusterState() {
        return storeAccess.clusterState();
    }

    /** Returns the replica of the store's keys. */
    public StoreReplica replica() {
        return storeAccess.replica();
    }

    /** Returns the client for calls to the store. */
    public StoreClient store() {
        return storeAccess.client();
    }

    /** Returns the writer that locks the keys of a transaction until its outcome is known. */
    public ConditionalWriter writer() {
        return storeAccess.writer();
    }

    /** Returns this controller's node name. */
    public String node() {
        return settings.node();
    }

    /** Returns the mod revision of a key in the replica, or 0 if the replica does not hold the key. */
    public long modRevision(String key) {
        return replica().modRevision(key);
    }

    /** Returns the limits on the size of a transaction. */
    public TransactionLimits transactionLimits() {
        return storeAccess.transactionLimits();
    }

    /** Returns whether this controller is the one member of the current view that is responsible for a job. */
    boolean isResponsibleFor(Job job) {
        return node().equals(membership.view().rendezvousOwner(job.id()));
    }

    /**
     * Encodes a task range for the store. The compact form is used only once all controllers are known to read it: either
     * all of them have registered with a version that does, or the store has already lowered its limits, which happens
     * only after all controllers were upgraded.
     *
     * @return the value to store, or null if no encoding fits the value limit
     */
    public JsonObject encodeTaskRange(TaskRange taskRange) {
        boolean compactForm = membership.allSupportCompactForm() || writer().limitsLowered();
        return taskRange.toJson(settings.valueBytes(), settings.currentValueBytes(), compactForm);
    }
}
