package org.havenford.coordination.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreOutcome;
import org.havenford.storage.StoreResult;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;

/** Verifies that every dependency of a submission is an accepted job. */
final class DependencyVerifier {
    /** Result of a verification. */
    sealed interface Verification {
        /** Every dependency is an accepted job, which may have ended since. */
        record AllAccepted() implements Verification {}

        /** At least one dependency was never accepted; {@code jobId} names one such dependency. */
        record NeverAccepted(String jobId) implements Verification {}

        /** The store returned no usable result. */
        record Unavailable() implements Verification {}
    }

    private final CoordinationContext context;

    DependencyVerifier(CoordinationContext context) {
        this.context = context;
    }

    /**
     * Verifies the dependencies of a submission. An accepted job stays accepted, so the check precedes the submission's
     * transaction and adds no conditions to it. If at most {@link FinalStateCache#MAX_CONCURRENT_READS} dependencies
     * are missing from the replica and the cache, their final states are read as well, so that a job whose dependencies
     * are done is released at once.
     */
    void verify(JobSpec spec, Consumer<Verification> callback) {
        verifyNextBatch(unknownDependencies(spec), spec, callback);
    }

    /** Returns the dependencies that are neither in the replica nor in the cache of final states. */
    private ArrayDeque<String> unknownDependencies(JobSpec spec) {
        ArrayDeque<String> unknown = new ArrayDeque<>();
        for (String jobId : spec.dependencies()) {
            if (context.clusterState().job(jobId) == null
                    && context.finalStates().cached(jobId) == null) {
                unknown.add(jobId);
            }
        }
        return unknown;
    }

    /**
     * Checks a batch of jobs with one transaction that has conditions but no operations. Each condition requires that a
     * key does not exist, so a condition that fails identifies an existing job. All conditions are evaluated at one
     * revision: a job that ends during the check has either its header or its final state at that revision.
     */
    private void verifyNextBatch(ArrayDeque<String> unknown, JobSpec spec, Consumer<Verification> callback) {
        if (unknown.isEmpty()) {
            readFinalStates(spec, callback);
            return;
        }
        List<String> batch = new ArrayList<>();
        Transaction transaction = new Transaction();
        for (String jobId : unknown) {
            Transaction absence =
                    new Transaction().requireRevision(Keys.job(jobId), 0).requireRevision(Keys.finalState(jobId), 0);
            if (!transaction.addIfAllowed(absence, context.transactionLimits())) {
                break;
            }
            batch.add(jobId);
        }
        context.store().commit(transaction, CallPriority.USER, result -> {
            if (result.ok()) {
                callback.accept(new Verification.NeverAccepted(batch.get(0)));
                return;
            }
            Set<String> existingJobs = existingJobs(result, batch);
            if (existingJobs.isEmpty()) {
                callback.accept(new Verification.Unavailable());
                return;
            }
            unknown.removeAll(existingJobs);
            verifyNextBatch(unknown, spec, callback);
        });
    }

    private static Set<String> existingJobs(StoreResult result, List<String> batch) {
        Set<String> existingJobs = new HashSet<>();
        if (result.outcome() != StoreOutcome.CONFLICT) {
            return existingJobs;
        }
        List<String> failedKeys = StoreResponses.conflictingKeys(result);
        for (String jobId : batch) {
            if (failedKeys.contains(Keys.job(jobId)) || failedKeys.contains(Keys.finalState(jobId))) {
                existingJobs.add(jobId);
            }
        }
        return existingJobs;
    }

    private void readFinalStates(JobSpec spec, Consumer<Verification> callback) {
        List<String> unread = new ArrayList<>(unknownDependencies(spec));
        if (unread.isEmpty() || unread.size() > FinalStateCache.MAX_CONCURRENT_READS) {
            callback.accept(new Verification.AllAccepted());
            return;
        }
        int[] readsLeft = {unread.size()};
        for (String jobId : unread) {
            context.store().get(Keys.finalState(jobId), CallPriority.USER, result -> {
                if (result.ok()) {
                    context.finalStates().parseAndCache(jobId, result);
                }
                readsLeft[0]--;
                if (readsLeft[0] == 0) {
                    callback.accept(new Verification.AllAccepted());
                }
            });
        }
    }
}
