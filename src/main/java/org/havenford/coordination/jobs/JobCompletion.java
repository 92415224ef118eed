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

/** Completes jobs: stores their final states and deletes their headers and task ranges. */
public final class JobCompletion {
    private static final Logger LOG = LoggerFactory.getLogger(JobCompletion.class);
    /**
     * Task ranges up to which a job is deleted in a single transaction together with its header. Those of larger jobs
     * are deleted after the header if the job is done, and before it if the job is cancelled.
     */
    private static final int MAX_TASK_RANGES_AT_ONCE = 8;
    /**
     * Operations of a completion besides the task ranges: the put of the final state and the deletion of the header.
     */
    private static final int OPERATIONS_PER_COMPLETION = 2;
    /** Lock name held while task ranges without a job are deleted. It is not a key of the store. */
    private static final String DELETION_LOCK = "sweep";

    private final CoordinationContext context;

    /** Creates the component in the given context. */
    public JobCompletion(CoordinationContext context) {
        this.context = context;
    }

    /**
     * Completes the jobs that this controller is responsible for if all tasks are done or a cancelled job has no
     * claims.
     */
    public void step() {
        for (Job job : List.copyOf(context.clusterState().jobs())) {
            boolean done = isDone(job);
            if ((done || isCancelledWithoutClaims(job))
                    && context.isResponsibleFor(job)
                    && !context.writer().isLocked(Keys.job(job.id()))) {
                commitCompletionStep(job, done ? FinalState.Status.DONE : FinalState.Status.CANCELLED);
            }
        }
    }

    private static boolean isDone(Job job) {
        return !job.cancelled() && job.doneCount() == job.spec().taskCount();
    }

    /**
     * Returns whether a job is cancelled and certain to have no claims. A cancellation made by this controller is in
     * the replica at once, whereas a claim that another controller committed just before it arrives through the watch.
     * Until the watch has passed the cancellation, such a claim would be deleted while its task still runs. See
     * cancel-overtakes-claim.trace.
     */
    private boolean isCancelledWithoutClaims(Job job) {
        return job.cancelled()
                && job.claimCount() == 0
                && context.replica().revision() >= context.modRevision(Keys.job(job.id()));
    }

    /**
     * Commits the next transaction that completes a job. A job with few task ranges is completed by a single
     * transaction. For a larger one that is done, the final state is stored at once and the task ranges are left to
     * {@link #deleteTaskRangesWithoutJob}. For a larger one that is cancelled, the task ranges are deleted in batches
     * first and the final state is stored last.
     */
    private void commitCompletionStep(Job job, FinalState.Status status) {
        boolean done = status == FinalState.Status.DONE;
        List<Integer> storedIndexes = storedTaskRanges(job);
        int maxTaskRanges = context.transactionLimits().maxOperations() - OPERATIONS_PER_COMPLETION;
        boolean fitsOneTransaction = storedIndexes.size() <= Math.min(MAX_TASK_RANGES_AT_ONCE, maxTaskRanges);
        String headerKey = Keys.job(job.id());
        Transaction transaction = new Transaction().requireRevision(headerKey, context.modRevision(headerKey));
        if (fitsOneTransaction || !done) {
            storedIndexes.stream()
                    .limit(maxTaskRanges)
                    .forEach(index ->
                            transaction.addIfAllowed(taskRangeDeletion(job, index), context.transactionLimits()));
        }
        List<String> locks = new ArrayList<>(List.of(headerKey));
        if (fitsOneTransaction || done) {
            Runnable onSuccess = addCompletion(job, status, transaction, locks);
            context.writer().commit(transaction, commitPriority(job), locks, onSuccess);
        } else {
            context.writer().commit(transaction, CallPriority.WORK, locks, () -> {});
        }
    }

    /**
     * Returns the store priority of a transaction that completes a job. Users and dependent jobs wait for it, so only
     * the completion of a low-priority job is sent after claims.
     */
    public static CallPriority commitPriority(Job job) {
        boolean isLowPriority = job.spec().priority() == JobSpec.Priority.LOW;
        return isLowPriority ? CallPriority.WORK : CallPriority.CLAIM;
    }

    /**
     * Adds the completion of a job to a transaction that is conditional on its header. Jobs that wait for no other
     * dependency are released by the same transaction as far as its limits allow, so that they need not wait until their
     * responsible member has read the final state.
     *
     * @param locks receives the header keys of the released jobs, to be locked with the transaction
     * @return an action to run once the transaction is committed
     */
    public Runnable addCompletion(Job job, FinalState.Status status, Transaction transaction, List<String> locks) {
        Instant now = context.loop().timeOfDay();
        Set<String> dependents = context.clusterState().dependents(job.id());
        boolean done = status == FinalState.Status.DONE;
        FinalState state = new FinalState(status, job.spec().taskCount(), done && !dependents.isEmpty() ? now : null);
        transaction.put(Keys.finalState(job.id()), state.toJson()).delete(Keys.job(job.id()));
        if (done) {
            releaseDependents(job.id(), dependents, now, transaction, locks);
        }
        return () -> {
            LOG.debug("job ended: job={}", job.id());
            context.finalStates().put(job.id(), state);
        };
    }

    private void releaseDependents(
            String endedJobId, Set<String> dependents, Instant now, Transaction transaction, List<String> locks) {
        for (String dependentId : dependents) {
            if (waitsOnlyFor(dependentId, endedJobId)) {
                String key = Keys.job(dependentId);
                Transaction release = new Transaction()
                        .requireRevision(key, context.modRevision(key))
                        .put(key, context.clusterState().job(dependentId).releasedHeader(now));
                if (!transaction.addIfAllowed(release, context.transactionLimits())) {
                    return;
                }
                locks.add(key);
            }
        }
    }

    /**
     * Returns whether a waiting job can be released: all dependencies except {@code lastDependencyId} are known to be
     * done.
     */
    private boolean waitsOnlyFor(String dependentId, String lastDependencyId) {
        Job dependent = context.clusterState().job(dependentId);
        if (dependent.cancelled() || context.writer().isLocked(Keys.job(dependentId))) {
            return false;
        }
        for (String dependency : dependent.spec().dependencies()) {
            FinalState state = context.finalStates().cached(dependency);
            boolean done = state != null && state.status() == FinalState.Status.DONE;
            if (!done && !dependency.equals(lastDependencyId)) {
                return false;
            }
        }
        return true;
    }

    private static List<Integer> storedTaskRanges(Job job) {
        List<Integer> storedIndexes = new ArrayList<>();
        for (int index = 0; index < job.taskRangeCount(); index++) {
            if (job.storedTaskRange(index) != null) {
                storedIndexes.add(index);
            }
        }
        return storedIndexes;
    }

    private Transaction taskRangeDeletion(Job job, int index) {
        String key = Keys.tasks(job.id(), index);
        return new Transaction().requireRevision(key, context.modRevision(key)).delete(key);
    }

    /** Deletes task ranges whose job has ended. Only the provisioning leader does this, for all controllers. */
    public void deleteTaskRangesWithoutJob() {
        boolean isLeader = context.node().equals(context.membership().view().provisioningLeader());
        if (!isLeader
                || context.clusterState().taskRangesWithoutJob().isEmpty()
                || context.writer().isLocked(DELETION_LOCK)) {
            return;
        }
        Transaction transaction = new Transaction();
        int maxDeletions = context.transactionLimits().maxOperations() - OPERATIONS_PER_COMPLETION;
        for (String path : context.clusterState().taskRangesWithoutJob()) {
            String headerKey = Keys.job(path.substring(0, path.indexOf('/')));
            Transaction deletion =
                    new Transaction().requireRevision(headerKey, 0).delete(Keys.TASKS + path);
            if (transaction.operationCount() >= maxDeletions
                    || !transaction.addIfAllowed(deletion, context.transactionLimits())) {
                break;
            }
        }
        context.writer().commit(transaction, CallPriority.WORK, List.of(DELETION_LOCK), () -> {});
    }
}
