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
 * Releases jobs whose needed jobs are all finally done, and withdraws those of which a needed job is cancelled. Both are
 * guarded by the stamp of the job's header; claims are guarded by it as well, so no task starts before the release.
 */
public final class JobDependencies {
    private static final Logger LOG = LoggerFactory.getLogger(JobDependencies.class);
    /** Withdrawals of a wide cascade leave room in the queue for claims. */
    private static final int MAX_WITHDRAWALS_UNDER_WAY = 2;
    /** A withdrawal sets the final state and deletes the header. */
    private static final int CHANGES_PER_WITHDRAWAL = 2;

    /** What is known of the jobs that a waiting job needs. */
    enum DependencyStatus {
        /** Each of them is finally done in the store. */
        DONE,
        /** Some are not over; none that is known here is cancelled. */
        OPEN,
        /** The end of one has yet to be read from the store. */
        UNKNOWN,
        /** One, directly or through others, is cancelled: it can never be done, nor can what needs it. */
        CANCELLED
    }

    private final CoordinationContext context;
    private int withdrawalsUnderWay;

    /** Dependencies as seen and settled in the given context. */
    public JobDependencies(CoordinationContext context) {
        this.context = context;
    }

    /**
     * The outlook of a job that needs the given ones. A cancelled header can only become a withdrawn job, and a job that
     * needs a withdrawn one can only be withdrawn; so {@code WITHDRAWN} is certain however old our replica is.
     */
    DependencyStatus statusOf(Collection<String> needed) {
        DependencyStatus all = DependencyStatus.DONE;
        Set<String> seen = new HashSet<>(needed);
        ArrayDeque<String> unvisited = new ArrayDeque<>(needed);
        while (!unvisited.isEmpty()) {
            String id = unvisited.poll();
            Job job = context.clusterState().job(id);
            DependencyStatus one =
                    job == null ? ended(id) : job.cancelled() ? DependencyStatus.CANCELLED : DependencyStatus.OPEN;
            if (one == DependencyStatus.CANCELLED) {
                return one;
            }
            all = one.compareTo(all) > 0 ? one : all;
            if (job != null && job.awaitsDependencies()) {
                for (String further : job.spec().dependencies()) {
                    if (seen.add(further)) {
                        unvisited.add(further);
                    }
                }
            }
        }
        return all;
    }

    /** The outlook of a job whose header is gone, or not here yet; what is unknown is read. */
    private DependencyStatus ended(String id) {
        FinalState state = context.finalStates().known(id);
        if (state == null) {
            context.finalStates().read(id);
            return DependencyStatus.UNKNOWN;
        }
        return state.status() == FinalState.Status.DONE ? DependencyStatus.DONE : DependencyStatus.CANCELLED;
    }

    /**
     * Whether a waiting job may be called pending. A cancellation that our replica does not show yet must be so young that
     * the time for cancellations is not over; after an outage the replica may lack older ones.
     */
    boolean isCertainlyPending(Job waiting) {
        DependencyStatus outlook = statusOf(waiting.spec().dependencies());
        return (outlook == DependencyStatus.OPEN || outlook == DependencyStatus.DONE)
                && context.membership()
                        .replicaIsFresherThan(
                                context.settings().cancellationLimit().dividedBy(2));
    }

    /**
     * When a job could start whose needed jobs are all done: the end of the last of them, or now where the version that ended one did not
     * store it; not before its submission.
     */
    Instant releaseTime(Collection<String> needed, Instant submitted) {
        Instant latest = submitted;
        for (String id : needed) {
            FinalState state = context.finalStates().known(id);
            if (state == null || state.endedAt() == null) {
                return context.loop().timeOfDay();
            }
            latest = state.endedAt().isAfter(latest) ? state.endedAt() : latest;
        }
        return latest;
    }

    /** Releases and withdraws what this member is responsible for; each job is looked after by one member. */
    public void step() {
        List<Job> withdrawn = new ArrayList<>();
        for (String id : List.copyOf(context.clusterState().jobsAwaitingDependencies())) {
            Job job = context.clusterState().job(id);
            if (job.cancelled()) {
                continue;
            }
            // Every member finds out, so that each can answer users and knows the rest at a take-over.
            DependencyStatus outlook = statusOf(job.spec().dependencies());
            if (context.writer().isLocked(Keys.job(id)) || !context.isResponsibleFor(job)) {
                continue;
            }
            if (outlook == DependencyStatus.CANCELLED) {
                withdrawn.add(job);
            } else if (outlook == DependencyStatus.DONE) {
                release(job);
            }
        }
        for (List<Job> jobs :
                Lists.partition(withdrawn, Math.max(1, context.settings().txnOps() / CHANGES_PER_WITHDRAWAL))) {
            if (withdrawalsUnderWay < MAX_WITHDRAWALS_UNDER_WAY) {
                cancelDependents(jobs);
            }
        }
    }

    private void release(Job job) {
        String key = Keys.job(job.id());
        LOG.debug("{} has all that it awaits", job.id());
        Instant at = releaseTime(job.spec().dependencies(), job.submittedAt());
        Transaction transaction =
                new Transaction().requireRevision(key, context.modRevision(key)).put(key, job.readyHeader(at));
        context.writer().commit(transaction, CallPriority.CLAIM, List.of(key), () -> context.pipelineMetrics()
                .released(at, context.loop().timeOfDay()));
    }

    /** They were never released, so they hold no task, and with the guards on their headers none can be claimed any more. */
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
        LOG.info("withdrawn with a job that they need: {}", keys);
        withdrawalsUnderWay++;
        context.writer().commit(transaction, CallPriority.CLAIM, keys, () -> {}, result -> withdrawalsUnderWay--);
    }
}
