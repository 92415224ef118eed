package org.havenford.coordination.jobs;

import com.google.common.collect.Lists;
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
 * Releases jobs whose dependencies are all done, and cancels those of which a dependency is cancelled. Both are conditional
 * on the mod revision of the job's header; claims are as well, so no task starts before the release.
 */
public final class JobDependencies {
    private static final Logger LOG = LoggerFactory.getLogger(JobDependencies.class);
    /** Transactions that cancel dependents; so a wide cascade leaves room in the queue for claims. */
    private static final int MAX_CANCELLATIONS_UNDER_WAY = 2;
    /** Cancelling a dependent puts its final state and deletes its header. */
    private static final int OPERATIONS_PER_CANCELLATION = 2;

    /** What is known of a job's dependencies; of several, the last in this order counts. */
    enum DependencyStatus {
        /** Each of them is done according to its stored final state. */
        DONE,
        /** Some have not ended; none that is known here is cancelled. */
        OPEN,
        /** The final state of one has yet to be read from the store. */
        UNKNOWN,
        /** One, directly or through others, is cancelled: it can never be done, nor can what depends on it. */
        CANCELLED
    }

    private final CoordinationContext context;
    private int cancellationsUnderWay;

    /** Dependencies as seen in the given context. */
    public JobDependencies(CoordinationContext context) {
        this.context = context;
    }

    /**
     * The status of a job that depends on the given ones. A cancelled header can only end as a cancelled job, and so can a job
     * that depends on a cancelled one; so {@code CANCELLED} is certain however old our replica is.
     */
    DependencyStatus statusOf(Collection<String> jobIds) {
        DependencyStatus combined = DependencyStatus.DONE;
        Set<String> seen = new HashSet<>(jobIds);
        ArrayDeque<String> unvisited = new ArrayDeque<>(jobIds);
        while (!unvisited.isEmpty()) {
            String jobId = unvisited.poll();
            Job job = context.clusterState().job(jobId);
            DependencyStatus status = job == null ? endedStatus(jobId) : unfinishedStatus(job);
            if (status == DependencyStatus.CANCELLED) {
                return status;
            }
            combined = status.compareTo(combined) > 0 ? status : combined;
            if (job != null && job.awaitsDependencies()) {
                for (String further : job.spec().dependencies()) {
                    if (seen.add(further)) {
                        unvisited.add(further);
                    }
                }
            }
        }
        return combined;
    }

    private static DependencyStatus unfinishedStatus(Job job) {
        return job.cancelled() ? DependencyStatus.CANCELLED : DependencyStatus.OPEN;
    }

    /** The status of a job whose header is gone, or not here yet; a final state that is not known is read. */
    private DependencyStatus endedStatus(String jobId) {
        FinalState state = context.finalStates().known(jobId);
        if (state == null) {
            context.finalStates().read(jobId);
            return DependencyStatus.UNKNOWN;
        }
        return state.status() == FinalState.Status.DONE ? DependencyStatus.DONE : DependencyStatus.CANCELLED;
    }

    /**
     * Whether a job that awaits dependencies may be called pending. A cancellation that our replica does not show yet must be
     * so young that the time for cancellations is not over; after an outage the replica may lack older ones.
     */
    boolean isCertainlyPending(Job waiting) {
        DependencyStatus status = statusOf(waiting.spec().dependencies());
        return (status == DependencyStatus.OPEN || status == DependencyStatus.DONE)
                && context.membership()
                        .replicaIsFresherThan(
                                context.settings().cancellationLimit().dividedBy(2));
    }

    /**
     * When a job could start whose dependencies are all done: the end of the last of them, or now where the version that
     * ended one did not store it; not before its submission.
     */
    private Instant releaseTime(Job job) {
        Instant latest = job.submittedAt();
        for (String dependency : job.spec().dependencies()) {
            FinalState state = context.finalStates().known(dependency);
            if (state == null || state.endedAt() == null) {
                return context.loop().timeOfDay();
            }
            latest = state.endedAt().isAfter(latest) ? state.endedAt() : latest;
        }
        return latest;
    }

    /** Releases and cancels jobs that this controller is responsible for. */
    public void step() {
        List<Job> toCancel = new ArrayList<>();
        for (String jobId : List.copyOf(context.clusterState().jobsAwaitingDependencies())) {
            Job job = context.clusterState().job(jobId);
            if (job.cancelled()) {
                continue;
            }
            // Every member finds out, so that each can answer users and knows the final states at a failover.
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
        int jobsPerTransaction =
                Math.max(1, context.settings().maxTransactionOperations() / OPERATIONS_PER_CANCELLATION);
        for (List<Job> jobs : Lists.partition(toCancel, jobsPerTransaction)) {
            if (cancellationsUnderWay < MAX_CANCELLATIONS_UNDER_WAY) {
                cancelDependents(jobs);
            }
        }
    }

    private void release(Job job) {
        String key = Keys.job(job.id());
        LOG.debug("dependencies done: job={}", job.id());
        Instant releasedAt = releaseTime(job);
        Transaction transaction =
                new Transaction().requireRevision(key, context.modRevision(key)).put(key, job.readyHeader(releasedAt));
        Runnable onSuccess = () ->
                context.pipelineMetrics().released(releasedAt, context.loop().timeOfDay());
        context.writer().commit(transaction, CallPriority.CLAIM, List.of(key), onSuccess);
    }

    /** They were never released, so they hold no task, and with the conditions on their headers none can be claimed any more. */
    private void cancelDependents(List<Job> jobs) {
        Transaction transaction = new Transaction();
        List<String> keys = new ArrayList<>();
        for (Job job : jobs) {
            String key = Keys.job(job.id());
            FinalState state =
                    FinalState.of(FinalState.Status.CANCELLED, job.spec().taskCount());
            keys.add(key);
            transaction
                    .requireRevision(key, context.modRevision(key))
                    .put(Keys.finalState(job.id()), state.toJson())
                    .delete(key);
        }
        LOG.info("cancelled with a dependency: jobs={}", keys);
        cancellationsUnderWay++;
        context.writer().commit(transaction, CallPriority.CLAIM, keys, () -> {}, result -> cancellationsUnderWay--);
    }
}
