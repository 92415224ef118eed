package org.havenford.coordination.jobs;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.havenford.storage.CallPriority;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.FinalState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases jobs whose dependencies are all done and cancels jobs with a cancelled dependency. Releases, cancellations
 * and claims are all conditional on the mod revision of the job's header, so no task starts before the job is released.
 */
public final class JobDependencies {
    private static final Logger LOG = LoggerFactory.getLogger(JobDependencies.class);
    /**
     * Concurrent transactions that cancel dependents; the limit keeps a wide cascade from delaying claims in the queue.
     */
    private static final int MAX_PENDING_CANCELLATIONS = 2;

    /** Status of a job's dependencies, in ascending order of precedence: the combined status is the highest of all. */
    enum DependencyStatus {
        /** All dependencies are done according to their stored final states. */
        DONE,
        /** At least one dependency has not ended, and none is known to be cancelled. */
        UNFINISHED,
        /** The final state of at least one dependency has yet to be read from the store. */
        UNKNOWN,
        /** A direct or transitive dependency is cancelled, so the job can never start. */
        CANCELLED
    }

    private final CoordinationContext context;
    private int pendingCancellations;

    /** Creates the component in the given context. */
    public JobDependencies(CoordinationContext context) {
        this.context = context;
    }

    /**
     * Returns the combined status of the given jobs and their transitive dependencies. {@code CANCELLED} is final even
     * if the replica is stale, because a cancelled job, and any job that depends on it, can only end as cancelled.
     */
    DependencyStatus statusOf(Collection<String> jobIds) {
        DependencyStatus combined = DependencyStatus.DONE;
        Set<String> seen = new HashSet<>(jobIds);
        ArrayDeque<String> unvisited = new ArrayDeque<>(jobIds);
        while (!unvisited.isEmpty()) {
            String jobId = unvisited.poll();
            Job job = context.clusterState().job(jobId);
            DependencyStatus status = job == null ? statusWithoutHeader(jobId) : statusFromHeader(job);
            if (status == DependencyStatus.CANCELLED) {
                return status;
            }
            combined = status.compareTo(combined) > 0 ? status : combined;
            if (job != null && job.awaitsDependencies()) {
                for (String dependency : job.spec().dependencies()) {
                    if (seen.add(dependency)) {
                        unvisited.add(dependency);
                    }
                }
            }
        }
        return combined;
    }

    private static DependencyStatus statusFromHeader(Job job) {
        return job.cancelled() ? DependencyStatus.CANCELLED : DependencyStatus.UNFINISHED;
    }

    /**
     * Returns the status of a job without a header in the replica, and starts to read its final state if it is not
     * cached.
     */
    private DependencyStatus statusWithoutHeader(String jobId) {
        FinalState state = context.finalStates().cached(jobId);
        if (state == null) {
            context.finalStates().startRead(jobId);
            return DependencyStatus.UNKNOWN;
        }
        return state.status() == FinalState.Status.DONE ? DependencyStatus.DONE : DependencyStatus.CANCELLED;
    }

    /**
     * Returns whether a job that awaits dependencies may be reported as pending. A cancellation that is missing from
     * the replica must be more recent than the cancellation limit. After an outage the replica may lack older ones, so
     * it must have been verified within half of that limit.
     */
    boolean isConfirmedPending(Job job) {
        DependencyStatus status = statusOf(job.spec().dependencies());
        return (status == DependencyStatus.UNFINISHED || status == DependencyStatus.DONE)
                && context.membership()
                        .isReplicaFresherThan(
                                context.settings().cancellationLimit().dividedBy(2));
    }

    /**
     * Returns when a job whose dependencies are all done became ready to start: at the end of the last dependency, but
     * not before its submission. It is the present time if the end time of a dependency is unknown, for example because
     * an earlier version stored its final state without one.
     */
    private Instant releaseTime(Job job) {
        Instant latest = job.submittedAt();
        for (String dependency : job.spec().dependencies()) {
            FinalState state = context.finalStates().cached(dependency);
            if (state == null || state.endedAt() == null) {
                return context.loop().timeOfDay();
            }
            latest = state.endedAt().isAfter(latest) ? state.endedAt() : latest;
        }
        return latest;
    }

    /** Releases or cancels the waiting jobs that this controller is responsible for. */
    public void step() {
        ArrayDeque<Job> toCancel = new ArrayDeque<>();
        for (String jobId : List.copyOf(context.clusterState().jobsAwaitingDependencies())) {
            Job job = context.clusterState().job(jobId);
            if (job.cancelled()) {
                continue;
            }
            // Evaluated by every member, not only the responsible one: this loads the final states into the cache,
            // where they are needed to answer queries and after a failover.
            DependencyStatus status = statusOf(job.spec().dependencies());
            if (context.writer().isLocked(Keys.job(jobId)) || !context.isResponsibleFor(job)) {
                continue;
            }
            if (status == DependencyStatus.CANCELLED) {
                toCancel.add(job);
            } else if (status == DependencyStatus.DONE) {
                release(job);
            }
        }
        while (!toCancel.isEmpty() && pendingCancellations < MAX_PENDING_CANCELLATIONS) {
            cancelDependents(toCancel);
        }
    }

    private void release(Job job) {
        String key = Keys.job(job.id());
        LOG.debug("dependencies done: job={}", job.id());
        Instant releasedAt = releaseTime(job);
        Transaction transaction = new Transaction()
                .requireRevision(key, context.modRevision(key))
                .put(key, job.releasedHeader(releasedAt));
        Runnable onSuccess = () -> context.pipelineMetrics()
                .recordRelease(releasedAt, context.loop().timeOfDay());
        context.writer().commit(transaction, CallPriority.CLAIM, List.of(key), onSuccess);
    }

    /**
     * Ends as many jobs with a cancelled dependency as one transaction allows, and removes them from the queue. They were
     * never released, so they have no claims, and the conditions on their headers make the transaction fail if that has
     * changed.
     */
    private void cancelDependents(ArrayDeque<Job> toCancel) {
        Job first = toCancel.poll();
        Transaction transaction = cancellation(first);
        List<String> keys = new ArrayList<>(List.of(Keys.job(first.id())));
        while (!toCancel.isEmpty()
                && transaction.addIfAllowed(cancellation(toCancel.peek()), context.transactionLimits())) {
            keys.add(Keys.job(toCancel.poll().id()));
        }
        LOG.info("cancelled with a dependency: jobs={}", keys);
        pendingCancellations++;
        context.writer().commit(transaction, CallPriority.CLAIM, keys, () -> {}, result -> pendingCancellations--);
    }

    private Transaction cancellation(Job job) {
        String key = Keys.job(job.id());
        FinalState state = FinalState.of(FinalState.Status.CANCELLED, job.spec().taskCount());
        return new Transaction()
                .requireRevision(key, context.modRevision(key))
                .put(Keys.finalState(job.id()), state.toJson())
                .delete(key);
    }
}
