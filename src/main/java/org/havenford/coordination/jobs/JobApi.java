package org.havenford.coordination.jobs;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreOutcome;
import org.havenford.storage.StoreResult;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.FinalState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.transport.HttpServer.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handlers of the job API: submissions, queries and cancellations. All requests are idempotent. */
public final class JobApi {
    private static final Logger LOG = LoggerFactory.getLogger(JobApi.class);
    /** Queued store calls of user requests above which further requests are rejected, to be retried by the client. */
    private static final int MAX_QUEUED_CALLS = 60;
    /** Attempts at a cancellation if concurrent changes of the header cause conflicts. */
    private static final int MAX_CANCEL_ATTEMPTS = 3;

    private final CoordinationContext context;
    private final JobQueries queries;
    private final JobSubmissions submissions;
    private final Runnable requestRound;

    /** Creates the handlers; {@code requestRound} requests a scheduling round. */
    public JobApi(CoordinationContext context, JobDependencies dependencies, Runnable requestRound) {
        this.context = context;
        this.queries = new JobQueries(context, dependencies);
        this.submissions = new JobSubmissions(context, dependencies, queries, requestRound);
        this.requestRound = requestRound;
    }

    /**
     * Returns whether requests have to be rejected at once: the replica is not loaded, or more store calls are queued
     * than can be made before they time out.
     */
    private boolean isUnavailable() {
        return !context.replica().loaded() || context.store().queued(CallPriority.USER) > MAX_QUEUED_CALLS;
    }

    /** Handles {@code POST /submissions}; {@code body} is null if it was too large. */
    public void submit(byte[] body, Consumer<Response> callback) {
        if (body == null) {
            callback.accept(JobApiResponses.error(JobApiResponses.BAD_REQUEST, "the body is larger than 64 KiB"));
            return;
        }
        JobSpec spec;
        try {
            spec = JobSpec.parse(Json.object(new String(body, StandardCharsets.UTF_8)));
        } catch (MalformedMessageException e) {
            callback.accept(JobApiResponses.error(JobApiResponses.BAD_REQUEST, e.getMessage()));
            return;
        }
        submit(spec, callback);
    }

    private void submit(JobSpec spec, Consumer<Response> callback) {
        FinalState finalState = context.finalStates().cached(spec.id());
        if (finalState != null) {
            callback.accept(JobApiResponses.ended(spec.id(), finalState));
        } else if (isUnavailable() || context.clusterState().types().isEmpty()) {
            callback.accept(JobApiResponses.retryLater());
        } else {
            submissions.submit(spec, logged("submit", spec.id(), callback));
        }
    }

    /** Handles {@code GET /submissions/ID}. */
    public void get(String jobId, Consumer<Response> callback) {
        if (!JobSpec.isValidId(jobId)) {
            callback.accept(JobApiResponses.unknownJob());
        } else if (context.finalStates().cached(jobId) == null && isUnavailable()) {
            callback.accept(JobApiResponses.retryLater());
        } else {
            queries.query(jobId, logged("query", jobId, callback));
        }
    }

    /** Returns a callback that logs a response, and how recent the replica is that it may rest on, at debug level. */
    private Consumer<Response> logged(String request, String jobId, Consumer<Response> callback) {
        if (!LOG.isDebugEnabled()) {
            return callback;
        }
        return response -> {
            LOG.debug(
                    "job request answered: request={} job={} status={} body={} epoch={} replicaRevision={} replicaAgeMs={}",
                    request,
                    jobId,
                    response.status(),
                    response.body(),
                    context.membership().view().epoch(),
                    context.replica().revision(),
                    context.membership().replicaAgeMillis());
            callback.accept(response);
        };
    }

    /** Handles {@code POST /submissions/ID/abort}. */
    public void cancel(String jobId, Consumer<Response> callback) {
        if (!JobSpec.isValidId(jobId)) {
            callback.accept(JobApiResponses.unknownJob());
        } else if (isUnavailable()) {
            callback.accept(JobApiResponses.retryLater());
        } else {
            cancel(jobId, MAX_CANCEL_ATTEMPTS, logged("cancel", jobId, callback));
        }
    }

    private void cancel(String jobId, int attemptsLeft, Consumer<Response> callback) {
        context.store().get(Keys.job(jobId), CallPriority.USER, result -> {
            if (result.outcome() == StoreOutcome.ABSENT) {
                queries.readFinalState(jobId, callback);
            } else if (result.ok()) {
                cancelUnlessCancelled(result, attemptsLeft, callback);
            } else {
                callback.accept(JobApiResponses.retryLater());
            }
        });
    }

    private void cancelUnlessCancelled(StoreResult header, int attemptsLeft, Consumer<Response> callback) {
        try {
            Job job = StoreResponses.parseHeader(header);
            if (job.cancelled()) {
                callback.accept(JobApiResponses.cancelled(job.id()));
            } else {
                commitCancellation(job, header.modRevision(), attemptsLeft, callback);
            }
        } catch (MalformedMessageException e) {
            callback.accept(JobApiResponses.retryLater());
        }
    }

    /**
     * Commits a cancellation on condition that the header is unchanged: of a cancellation and a concurrent completion,
     * which deletes the header, only one succeeds.
     */
    private void commitCancellation(Job job, long modRevision, int attemptsLeft, Consumer<Response> callback) {
        String key = Keys.job(job.id());
        Transaction transaction =
                new Transaction().requireRevision(key, modRevision).put(key, job.header(true));
        context.store().commit(transaction, CallPriority.USER, result -> {
            if (result.ok()) {
                context.replica().applyCommitted(transaction, result.revision());
                callback.accept(JobApiResponses.cancelled(job.id()));
                requestRound.run();
            } else if (result.outcome() == StoreOutcome.CONFLICT && attemptsLeft > 1) {
                cancel(job.id(), attemptsLeft - 1, callback);
            } else {
                callback.accept(JobApiResponses.retryLater());
            }
        });
    }
}
