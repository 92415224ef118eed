package org.havenford.coordination;

import java.util.ArrayList;
import java.util.List;
import org.havenford.bookkeeping.FinalState;
import org.havenford.bookkeeping.Job;
import org.havenford.bookkeeping.Keys;
import org.havenford.bookkeeping.StateStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the final states of jobs, and removes the records of their tasks. */
final class JobEnds {
    private static final Logger LOG = LoggerFactory.getLogger(JobEnds.class);
    /** Records of tasks that are deleted together with a job's header; of larger jobs they are swept afterwards. */
    private static final int MAX_FINAL_CHUNKS = 8;
    /** The final state and the header take a change each. */
    private static final int CHANGES_OF_END = 2;
    /** Locked while a sweep is under way. */
    private static final String SWEEP = "sweep";

    private final SchedulingContext context;

    JobEnds(SchedulingContext context) {
        this.context = context;
    }

    /** Ends jobs whose tasks are all done, or that were cancelled and hold no claim any more. */
    void step() {
        for (Job job : List.copyOf(context.ledger().jobs())) {
            boolean done = !job.cancelled() && job.doneCount() == job.spec().tasks();
            if ((done || isWithdrawn(job))
                    && context.responsibleFor(job)
                    && !context.writer().isLocked(Keys.job(job.id()))) {
                end(job, done);
            }
        }
    }

    /**
     * Our own cancellation is in our replica at once, another's claim that came just before it only with the watch: a claim
     * that we don't know of would be dropped with its task still running. cancel-overtakes-claim.trace
     */
    private boolean isWithdrawn(Job job) {
        return job.cancelled()
                && job.claimCount() == 0
                && context.replica().edition() >= context.stamp(Keys.job(job.id()));
    }

    /** A job of many records is taken down bit by bit; its header goes last, together with the final state. */
    private void end(Job job, boolean done) {
        List<Integer> stored = storedChunks(job);
        int room = context.settings().txnOps() - CHANGES_OF_END;
        boolean last = stored.size() <= Math.min(MAX_FINAL_CHUNKS, room);
        String header = Keys.job(job.id());
        StateStore.Txn txn = new StateStore.Txn().guard(header, context.stamp(header));
        if (last || !done) {
            stored.subList(0, Math.min(stored.size(), room)).forEach(index -> deleteChunk(job, index, txn));
        }
        FinalState state = done
                ? context.done(job)
                : FinalState.of(FinalState.Status.WITHDRAWN, job.spec().tasks());
        boolean ends = last || done;
        if (ends) {
            txn.set(Keys.end(job.id()), state.toJson()).delete(header);
        }
        StateStore.Urgency urgency = ends ? StateStore.Urgency.CLAIM : StateStore.Urgency.WORK;
        context.writer().commit(txn, urgency, List.of(header), () -> {
            if (ends) {
                LOG.debug("{} ended", job.id());
                context.finalStates().put(job.id(), state);
            }
        });
    }

    private static List<Integer> storedChunks(Job job) {
        List<Integer> stored = new ArrayList<>();
        for (int i = 0; i < job.chunkCount(); i++) {
            if (job.stored(i) != null) {
                stored.add(i);
            }
        }
        return stored;
    }

    private void deleteChunk(Job job, int index, StateStore.Txn txn) {
        String key = Keys.tasks(job.id(), index);
        txn.guard(key, context.stamp(key)).delete(key);
    }

    /** Deletes records of tasks whose job is over. */
    void sweep() {
        boolean first = context.node().equals(context.membership().view().first());
        if (!first || context.ledger().orphans().isEmpty() || context.writer().isLocked(SWEEP)) {
            return;
        }
        StateStore.Txn txn = new StateStore.Txn();
        for (String path : context.ledger().orphans()) {
            if (txn.writes() < context.settings().txnOps() - CHANGES_OF_END) {
                String header = Keys.job(path.substring(0, path.indexOf('/')));
                txn.guard(header, 0).delete(Keys.TASKS + path);
            }
        }
        context.writer().commit(txn, StateStore.Urgency.WORK, List.of(SWEEP), () -> {});
    }
}
