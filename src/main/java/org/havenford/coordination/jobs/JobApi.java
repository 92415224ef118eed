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

/** Handlers of the job API: submissions, queries and cancellations. All requests are idempotent. */
public final class JobApi {
    /** Queued store calls of user requests above which further requests are rejected, to be retried by the client. */
    private static final int MAX_QUEUED = 60;
    /** Attempts at a cancellation if concurrent changes of the header cause conflicts. */
    private static final int CANCEL_ATTEMPTS = 3;

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
    private boolean overloaded() {
        return !context.replica().loaded() || context.store().queued(CallPriority.USER) > MAX_QUEUED;
    }

    /** Handles {@code POST /submissions}; {@code body} is null if it was too large or incomplete. */
    public void submit(byte[] body, Consumer<Response> answer) {
        if (body == null) {
            answer.accept(
                    JobApiResponses.error(JobApiResponses.BAD_REQUEST, "the body is larger than 64 KiB or incomplete"));
            return;
        }
        JobSpec spec;
        try {
            spec = JobSpec.parse(Json.object(new String(body, StandardCharsets.UTF_8)));
        } catch (MalformedMessageException e) {
            answer.accept(JobApiResponses.error(JobApiResponses.BAD_REQUEST, e.getMessage()));
            return;
        }
        submit(spec, answer);
    }

    private void submit(JobSpec spec, Consumer<Response> answer) {
        FinalState known = context.finalStates().known(spec.id());
        if (known != null) {
            answer.accept(JobApiResponses.ended(spec.id(), known));
        } else if (overloaded() || context.clusterState().types().isEmpty()) {
            answer.accept(JobApiResponses.retryLater());
        } else {
            submissions.submit(spec, answer);
        }
    }

    /** Handles {@code GET /submissions/ID}. */
    public void get(String jobId, Consumer<Response> answer) {
        if (!JobSpec.validId(jobId)) {
            answer.accept(JobApiResponses.unknownJob());
        } else if (context.finalStates().known(jobId) == null && overloaded()) {
            answer.accept(JobApiResponses.retryLater());
        } else {
            queries.query(jobId, answer);
        }
    }

    /** Handles {@code POST /submissions/ID/abort}. */
    public void cancel(String jobId, Consumer<Response> answer) {
        if (!JobSpec.validId(jobId)) {
            answer.accept(JobApiResponses.unknownJob());
        } else if (overloaded()) {
            answer.accept(JobApiResponses.retryLater());
        } else {
            cancel(jobId, CANCEL_ATTEMPTS, answer);
        }
    }

    private void cancel(String jobId, int attempts, Consumer<Response> answer) {
        context.store().get(Keys.job(jobId), CallPriority.USER, result -> {
            if (result.outcome() == StoreOutcome.ABSENT) {
                queries.readFinalState(jobId, answer);
            } else if (result.ok()) {
                cancelIfNotYet(result, attempts, answer);
            } else {
                answer.accept(JobApiResponses.retryLater());
            }
        });
    }

    private void cancelIfNotYet(StoreResult header, int attempts, Consumer<Response> answer) {
        try {
            Job job = StoreResponses.header(header);
            if (job.cancelled()) {
                answer.accept(JobApiResponses.cancelled(job.id()));
            } else {
                commitCancellation(job, header.modRevision(), attempts, answer);
            }
        } catch (MalformedMessageException e) {
            answer.accept(JobApiResponses.retryLater());
        }
    }

    /**
     * Commits a cancellation on condition that the header is unchanged: of a cancellation and a concurrent completion,
     * which deletes the header, only one succeeds.
     */
    private void commitCancellation(Job job, long modRevision, int attempts, Consumer<Response> answer) {
        String key = Keys.job(job.id());
        Transaction transaction =
                new Transaction().requireRevision(key, modRevision).put(key, job.header(true));
        context.store().commit(transaction, CallPriority.USER, result -> {
            if (result.ok()) {
                context.replica().applyCommitted(transaction, result.revision());
                answer.accept(JobApiResponses.cancelled(job.id()));
                requestRound.run();
            } else if (result.outcome() == StoreOutcome.CONFLICT && attempts > 1) {
                cancel(job.id(), attempts - 1, answer);
            } else {
                answer.accept(JobApiResponses.retryLater());
            }
        });
    }
}
