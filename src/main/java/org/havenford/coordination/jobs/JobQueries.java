package org.havenford.coordination.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreOutcome;
import org.havenford.storage.StoreResult;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.FinalState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.transport.HttpServer.Response;

/**
 * Answers queries for jobs. An unfinished job is answered from the replica only after the store has confirmed that the
 * replica holds the current mod revision of its header. Queries are batched, so that one comparison serves all that
 * wait for it. Headers that the replica lacks or holds in an older revision are read from the store.
 */
final class JobQueries {
    private final CoordinationContext context;
    private final JobDependencies dependencies;
    /** Queries by job id that arrived since the last comparison was sent. */
    private final Map<String, List<Consumer<Response>>> waitingQueries = new LinkedHashMap<>();

    private boolean comparisonPending;

    JobQueries(CoordinationContext context, JobDependencies dependencies) {
        this.context = context;
        this.dependencies = dependencies;
    }

    /** Answers with the current state of a job, or with 404 if the job was never accepted. */
    void query(String jobId, Consumer<Response> callback) {
        FinalState finalState = context.finalStates().cached(jobId);
        if (finalState != null) {
            callback.accept(JobApiResponses.ended(jobId, finalState));
        } else if (context.clusterState().job(jobId) == null) {
            readFromStore(jobId, callback);
        } else {
            waitingQueries.computeIfAbsent(jobId, id -> new ArrayList<>()).add(callback);
            compareNextBatch();
        }
    }

    private void compareNextBatch() {
        if (comparisonPending || waitingQueries.isEmpty()) {
            return;
        }
        Transaction transaction = new Transaction();
        Map<String, List<Consumer<Response>>> batch = takeNextBatch(transaction);
        if (batch.isEmpty()) {
            return;
        }
        Map<String, Job> comparedJobs = new HashMap<>();
        batch.keySet()
                .forEach(jobId -> comparedJobs.put(jobId, context.clusterState().job(jobId)));
        comparisonPending = true;
        context.store().commit(transaction, CallPriority.USER, result -> {
            comparisonPending = false;
            respondToBatch(result, batch, comparedJobs);
            compareNextBatch();
        });
    }

    private void respondToBatch(
            StoreResult result, Map<String, List<Consumer<Response>>> batch, Map<String, Job> comparedJobs) {
        boolean comparisonExecuted = result.ok() || result.outcome() == StoreOutcome.CONFLICT;
        Set<String> outdated = comparisonExecuted ? outdatedHeaders(result, batch.keySet()) : Set.of();
        batch.forEach((jobId, callbacks) -> {
            if (!comparisonExecuted) {
                callbacks.forEach(callback -> callback.accept(JobApiResponses.retryLater()));
            } else if (outdated.contains(Keys.job(jobId))) {
                callbacks.forEach(callback -> readFromStore(jobId, callback));
            } else {
                Response response = unfinishedResponse(comparedJobs.get(jobId));
                callbacks.forEach(callback -> callback.accept(response));
            }
        });
    }

    /**
     * Removes as many waiting queries as fit one comparison, adds the conditions on their jobs to it and returns them by
     * job id. Jobs that have left the replica meanwhile are read from the store instead.
     */
    private Map<String, List<Consumer<Response>>> takeNextBatch(Transaction comparison) {
        Map<String, List<Consumer<Response>>> batch = new LinkedHashMap<>();
        Iterator<Map.Entry<String, List<Consumer<Response>>>> entries =
                waitingQueries.entrySet().iterator();
        boolean full = false;
        while (entries.hasNext() && !full) {
            Map.Entry<String, List<Consumer<Response>>> entry = entries.next();
            String key = Keys.job(entry.getKey());
            if (context.clusterState().job(entry.getKey()) == null) {
                entries.remove();
                entry.getValue().forEach(callback -> readFromStore(entry.getKey(), callback));
            } else if (comparison.addIfAllowed(
                    new Transaction().requireRevision(key, context.modRevision(key)), context.transactionLimits())) {
                entries.remove();
                batch.put(entry.getKey(), entry.getValue());
            } else {
                full = true;
            }
        }
        return batch;
    }

    /**
     * Returns the keys of headers that are outdated in the replica, or all header keys if the store does not name them.
     */
    private static Set<String> outdatedHeaders(StoreResult result, Set<String> jobIds) {
        Set<String> outdated = new HashSet<>();
        if (result.ok()) {
            return outdated;
        }
        outdated.addAll(StoreResponses.conflictingKeys(result));
        if (outdated.isEmpty()) {
            jobIds.forEach(jobId -> outdated.add(Keys.job(jobId)));
        }
        return outdated;
    }

    /**
     * Answers with the state of a job in the store. The header is read before the final state, so that a job that ends
     * between the two calls is found by the second one.
     */
    void readFromStore(String jobId, Consumer<Response> callback) {
        context.store().get(Keys.job(jobId), CallPriority.USER, result -> {
            if (result.ok()) {
                callback.accept(unfinishedResponse(result));
            } else if (result.outcome() == StoreOutcome.ABSENT) {
                readFinalState(jobId, callback);
            } else {
                callback.accept(JobApiResponses.retryLater());
            }
        });
    }

    /** Answers with the final state of a job, or with 404 if there is none. */
    void readFinalState(String jobId, Consumer<Response> callback) {
        context.store().get(Keys.finalState(jobId), CallPriority.USER, result -> {
            if (result.ok()) {
                callback.accept(context.finalStates()
                        .parseAndCache(jobId, result)
                        .map(state -> JobApiResponses.ended(jobId, state))
                        .orElseGet(JobApiResponses::retryLater));
            } else if (result.outcome() == StoreOutcome.ABSENT) {
                callback.accept(JobApiResponses.unknownJob());
            } else {
                callback.accept(JobApiResponses.retryLater());
            }
        });
    }

    private Response unfinishedResponse(StoreResult header) {
        try {
            return unfinishedResponse(StoreResponses.parseHeader(header));
        } catch (MalformedMessageException e) {
            return JobApiResponses.retryLater();
        }
    }

    /** Builds the response from a current header; the numbers of done and running tasks come from the replica. */
    private Response unfinishedResponse(Job header) {
        Job job = context.clusterState().job(header.id());
        int doneTasks = job == null ? 0 : job.doneCount();
        int runningTasks = job == null ? 0 : job.claimCount();
        if (header.cancelled()) {
            return JobApiResponses.beingCancelled(header.id(), doneTasks);
        }
        if (header.awaitsDependencies() && !dependencies.isConfirmedPending(header)) {
            return JobApiResponses.retryLater();
        }
        return JobApiResponses.unfinished(header.id(), doneTasks, runningTasks);
    }
}
