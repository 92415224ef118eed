package org.havenford.coordination;

import com.google.gson.JsonObject;
import org.havenford.bookkeeping.Chunk;
import org.havenford.bookkeeping.Job;
import org.havenford.bookkeeping.Ledger;
import org.havenford.bookkeeping.Replica;
import org.havenford.bookkeeping.StateStore;
import org.havenford.protocol.Settings;
import org.havenford.transport.EventLoop;

/** What the parts of the scheduler work with: the replica that decisions are read from, and the way to the store. */
record SchedulingContext(
        EventLoop loop,
        Settings settings,
        Ledger ledger,
        Replica replica,
        StateStore store,
        Membership membership,
        GuardedWriter writer,
        FinalStates finalStates,
        PipelineMetrics pipelineMetrics) {

    String node() {
        return settings.node();
    }

    /** The stamp that our replica holds of a key; 0 where the key does not exist. */
    long stamp(String key) {
        return replica.stamp(key);
    }

    /** Whether this member looks after a job; each job is looked after by one member. */
    boolean responsibleFor(Job job) {
        return node().equals(membership.view().rendezvous(job.id()));
    }

    /**
     * The value to store for a record of tasks; null while no form fits. The short form is written once every controller
     * has been seen to read it.
     */
    JsonObject toJson(Chunk chunk) {
        boolean shortForm = membership.allReadFormat2() || writer.limitsLowered();
        return chunk.toJson(settings.valueBytes(), settings.presentValueBytes(), shortForm);
    }
}
