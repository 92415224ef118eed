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

/** Verifies that each dependency of a submission is an accepted job. */
final class DependencyVerifier {
    /** A job is looked for in two places: its header and its final state. */
    private static final int CONDITIONS_PER_JOB = 2;

    /** The outcome of a verification. */
    sealed interface Verification {
        /** Each dependency was accepted once. */
        record AllAccepted() implements Verification {}

        /** At least one dependency does not exist; {@code jobId} is the first of those asked for. */
        record NeverAccepted(String jobId) implements Verification {}

        /** The store could not be asked. */
        record Unavailable() implements Verification {}
    }

    private final CoordinationContext context;

    DependencyVerifier(CoordinationContext context) {
        this.context = context;
    }

    /**
     * Verifies the dependencies of a submission. Acceptance can't be undone, so it is read and need not be a condition of the
     * submission. The final states of dependencies that have ended are read as well if they are few: then the job can be
     * released at once.
     */
    void verify(JobSpec spec, Consumer<Verification> verified) {
        verify(unknownDependencies(spec), spec, verified);
    }

    /** Dependencies that this controller has not seen to be accepted. */
    private ArrayDeque<String> unknownDependencies(JobSpec spec) {
        ArrayDeque<String> unknown = new ArrayDeque<>();
        for (String jobId : spec.dependencies()) {
            if (context.clusterState().job(jobId) == null
                    && context.finalStates().known(jobId) == null) {
                unknown.add(jobId);
            }
        }
        return unknown;
    }

    /**
     * Many jobs are looked for with one transaction that only compares: a condition that fails names a job that exists. As
     * the conditions of a transaction hold at one moment, a job that ends meanwhile is not missed.
     */
    private void verify(ArrayDeque<String> unknown, JobSpec spec, Consumer<Verification> verified) {
        if (unknown.isEmpty()) {
            readFinalStates(spec, verified);
            return;
        }
        List<String> asked = firstOf(unknown, context.maxConditions() / CONDITIONS_PER_JOB);
        Transaction transaction = new Transaction();
        for (String jobId : asked) {
            transaction.requireRevision(Keys.job(jobId), 0).requireRevision(Keys.finalState(jobId), 0);
        }
        context.store().commit(transaction, CallPriority.USER, result -> {
            if (result.ok()) {
                verified.accept(new Verification.NeverAccepted(asked.get(0)));
                return;
            }
            Set<String> existing = existing(result, asked);
            if (existing.isEmpty()) {
                verified.accept(new Verification.Unavailable());
                return;
            }
            unknown.removeAll(existing);
            verify(unknown, spec, verified);
        });
    }

    private static List<String> firstOf(ArrayDeque<String> jobIds, int count) {
        return jobIds.stream().limit(count).toList();
    }

    private static Set<String> existing(StoreResult result, List<String> asked) {
        Set<String> existing = new HashSet<>();
        if (result.outcome() != StoreOutcome.CONFLICT) {
            return existing;
        }
        List<String> failed = StoreResponses.conflictingKeys(result);
        for (String jobId : asked) {
            if (failed.contains(Keys.job(jobId)) || failed.contains(Keys.finalState(jobId))) {
                existing.add(jobId);
            }
        }
        return existing;
    }

    private void readFinalStates(JobSpec spec, Consumer<Verification> verified) {
        List<String> ended = new ArrayList<>(unknownDependencies(spec));
        if (ended.isEmpty() || ended.size() > FinalStateCache.MAX_READS) {
            verified.accept(new Verification.AllAccepted());
            return;
        }
        int[] readsLeft = {ended.size()};
        for (String jobId : ended) {
            context.store().get(Keys.finalState(jobId), CallPriority.USER, result -> {
                if (result.ok()) {
                    context.finalStates().parse(jobId, result);
                }
                readsLeft[0]--;
                if (readsLeft[0] == 0) {
                    verified.accept(new Verification.AllAccepted());
                }
            });
        }
    }
}
