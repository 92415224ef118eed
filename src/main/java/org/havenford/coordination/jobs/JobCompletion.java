package org.havenford.coordination.jobs;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.CallPriority;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.FinalState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the final states of jobs, and removes the records of their tasks. */
public final class JobCompletion {
    private static final Logger LOG = LoggerFactory.getLogger(JobCompletion.class);
    /** Records of tasks that are deleted together with a job's header; of larger jobs they are swept afterwards. */
    private static final int MAX_FINAL_CHUNKS = 8;
    /** The final state and the header take a change each. */
    private static final int CHANGES_OF_END = 2;
    /** Locked while a sweep is under way. */
    private static final String SWEEP = "sweep";

    private final CoordinationContext context;

    /** Job ends that are decided and committed in the given context. */
    public JobCompletion(CoordinationContext context) {
        this.context = context;
    }

    /** Ends jobs whose tasks are all done, or that were cancelled and hold no claim any more. */
    public void step() {
        for (Job job : List.copyOf(context.clusterState().jobs())) {
            boolean done = !job.cancelled() && job.doneCount() == job.spec().taskCount();
            if ((done || isWithdrawn(job))
                    && context.isResponsibleFor(job)
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
                && context.replica().revision() >= context.modRevision(Keys.job(job.id()));
    }

    /** A job of many records is taken down bit by bit; its header goes last, together with the final state. */
    private void end(Job job, boolean done) {
        List<Integer> stored = storedChunks(job);
        int room = context.settings().txnOps() - CHANGES_OF_END;
        boolean last = stored.size() <= Math.min(MAX_FINAL_CHUNKS, room);
        String header = Keys.job(job.id());
        Transaction transaction = new Transaction().requireRevision(header, context.modRevision(header));
        if (last || !done) {
            stored.subList(0, Math.min(stored.size(), room)).forEach(index -> deleteChunk(job, index, transaction));
        }
        List<String> locks = new ArrayList<>(List.of(header));
        boolean ends = last || done;
        Runnable onSuccess = () -> {};
        if (ends) {
            FinalState.Status status = done ? FinalState.Status.DONE : FinalState.Status.CANCELLED;
            onSuccess = addCompletion(job, status, transaction, locks);
        }
        CallPriority urgency = ends ? urgency(job) : CallPriority.WORK;
        context.writer().commit(transaction, urgency, locks, onSuccess);
    }

    /** Users and pipelines wait for the end of a job; only that of low work stands behind the claims of other work. */
    public static CallPriority urgency(Job job) {
        boolean low = job.spec().priority() == JobSpec.Priority.LOW;
        return low ? CallPriority.WORK : CallPriority.CLAIM;
    }

    /**
     * Adds the end of a job to a transaction that is guarded by its header, and returns what is to be done once it is
     * committed. Jobs that wait for nothing else are released by the same transaction, as far as its limit allows: they then
     * need not wait until the member that looks after them has read the final state.
     */
    public Runnable addCompletion(Job job, FinalState.Status status, Transaction transaction, List<String> locks) {
        Instant now = context.loop().timeOfDay();
        Set<String> dependents = context.clusterState().dependents(job.id());
        boolean done = status == FinalState.Status.DONE;
        FinalState state = new FinalState(status, job.spec().taskCount(), done && !dependents.isEmpty() ? now : null);
        transaction.put(Keys.finalState(job.id()), state.toJson()).delete(Keys.job(job.id()));
        if (done) {
            for (String id : dependents) {
                if (transaction.operationCount() < context.settings().txnOps() && waitsOnlyFor(id, job.id())) {
                    String key = Keys.job(id);
                    transaction
                            .requireRevision(key, context.modRevision(key))
                            .put(key, context.clusterState().job(id).readyHeader(now));
                    locks.add(key);
                }
            }
        }
        return () -> {
            LOG.debug("{} ended", job.id());
            context.finalStates().put(job.id(), state);
        };
    }

    /** Whether all that a waiting job needs besides the given one is known to be done. */
    private boolean waitsOnlyFor(String waitingId, String lastNeeded) {
        Job waiting = context.clusterState().job(waitingId);
        if (waiting.cancelled() || context.writer().isLocked(Keys.job(waitingId))) {
            return false;
        }
        for (String id : waiting.spec().dependencies()) {
            FinalState state = context.finalStates().known(id);
            boolean done = state != null && state.status() == FinalState.Status.DONE;
            if (!done && !id.equals(lastNeeded)) {
                return false;
            }
        }
        return true;
    }

    private static List<Integer> storedChunks(Job job) {
        List<Integer> stored = new ArrayList<>();
        for (int i = 0; i < job.taskRangeCount(); i++) {
            if (job.storedTaskRange(i) != null) {
                stored.add(i);
            }
        }
        return stored;
    }

    private void deleteChunk(Job job, int index, Transaction transaction) {
        String key = Keys.tasks(job.id(), index);
        transaction.requireRevision(key, context.modRevision(key)).delete(key);
    }

    /** Deletes records of tasks whose job is over. */
    public void deleteTaskRangesWithoutJob() {
        boolean first = context.node().equals(context.membership().view().provisioningLeader());
        if (!first
                || context.clusterState().taskRangesWithoutJob().isEmpty()
                || context.writer().isLocked(SWEEP)) {
            return;
        }
        Transaction transaction = new Transaction();
        for (String path : context.clusterState().taskRangesWithoutJob()) {
            if (transaction.operationCount() < context.settings().txnOps() - CHANGES_OF_END) {
                String header = Keys.job(path.substring(0, path.indexOf('/')));
                transaction.requireRevision(header, 0).delete(Keys.TASKS + path);
            }
        }
        context.writer().commit(transaction, CallPriority.WORK, List.of(SWEEP), () -> {});
    }
}
