package org.havenford.coordination.jobs;

import com.google.gson.JsonObject;
import org.havenford.coordination.membership.Membership;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.ConditionalWriter;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.TaskRange;
import org.havenford.transport.EventLoop;

/** What scheduling and the job API work with: the replica that decisions are read from, and the ways to the store. */
public record CoordinationContext(
        EventLoop loop,
        PlatformSettings settings,
        StoreAccess storeAccess,
        Membership membership,
        FinalStateCache finalStates,
        PipelineMetrics pipelineMetrics) {
    /** The store allows this many conditions of a transaction for each operation that it allows. */
    private static final int CONDITIONS_PER_OPERATION = 4;

    /** The typed view of the replica. */
    public ClusterState clusterState() {
        return storeAccess.clusterState();
    }

    /** The replica of the store's keys. */
    public StoreReplica replica() {
        return storeAccess.replica();
    }

    /** Calls to the store. */
    public StoreClient store() {
        return storeAccess.client();
    }

    /** Transactions that lock the keys they decide on. */
    public ConditionalWriter writer() {
        return storeAccess.writer();
    }

    /** Name of this controller. */
    public String node() {
        return settings.node();
    }

    /** The mod revision that our replica holds of a key; 0 where the key does not exist. */
    public long modRevision(String key) {
        return replica().modRevision(key);
    }

    /** The most conditions that the store accepts in one transaction. */
    int maxConditions() {
        return settings.maxTransactionOperations() * CONDITIONS_PER_OPERATION;
    }

    /** Whether this controller is the one member that is responsible for a job. */
    boolean isResponsibleFor(Job job) {
        return node().equals(membership.view().rendezvousOwner(job.id()));
    }

    /**
     * The value to store for a task range; null while no form fits. The short form is written once every controller has been
     * seen to read it.
     */
    public JsonObject toJson(TaskRange taskRange) {
        boolean shortForm = membership.allReadShortForm() || writer().limitsLowered();
        return taskRange.toJson(settings.valueBytes(), settings.presentValueBytes(), shortForm);
    }
}
