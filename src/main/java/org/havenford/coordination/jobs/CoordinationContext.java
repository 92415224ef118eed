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

/** What the parts of the scheduler work with: the replica that decisions are read from, and the way to the store. */
public record CoordinationContext(
        EventLoop loop,
        PlatformSettings settings,
        ClusterState clusterState,
        StoreReplica replica,
        StoreClient store,
        Membership membership,
        ConditionalWriter writer,
        FinalStateCache finalStates,
        PipelineMetrics pipelineMetrics) {

    /** Name of this controller. */
    public String node() {
        return settings.node();
    }

    /** The stamp that our replica holds of a key; 0 where the key does not exist. */
    public long modRevision(String key) {
        return replica.modRevision(key);
    }

    /** Whether this member looks after a job; each job is looked after by one member. */
    boolean isResponsibleFor(Job job) {
        return node().equals(membership.view().rendezvousOwner(job.id()));
    }

    /**
     * The value to store for a record of tasks; null while no form fits. The short form is written once every controller
     * has been seen to read it.
     */
    public JsonObject toJson(TaskRange taskRange) {
        boolean shortForm = membership.allReadShortForm() || writer.limitsLowered();
        return taskRange.toJson(settings.valueBytes(), settings.presentValueBytes(), shortForm);
    }
}
