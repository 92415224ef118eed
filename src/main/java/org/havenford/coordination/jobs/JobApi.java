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

/** The job API: submissions, queries and cancellations. All of them are idempotent requests. */
public final class JobApi {
    /** Calls for users that may wait for the store's limits; what comes on top is refused at once. */
    private static final int MAX_QUEUED = 60;
    /** Attempts at a cancellation whose header is changed by others meanwhile. */
    private static final int CANCEL_ATTEMPTS = 3;

    private final CoordinationContext context;
    private final JobQueries queries;
    private final JobSubmissions submissions;
    private final Runnable requestRound;

    /** The handlers of the job API; {@code requestRound} asks for a scheduling round. */
    public JobApi(CoordinationContext context, JobDependencies dependencies, Runnable requestRound) {
        this.context = context;
        this.queries = new JobQueries(context, dependencies);
        this.submissions = new JobSubmissions(context, dependencies, queries, requestRound);
        this.requestRound = requestRound;
    }

    /** Whether requests are refused at once: the store is not to be reached, or more is waiting than can be done in time. */
    private boolean overloaded() {
        return !context.replica().loaded() || context.store().queued(CallPriority.USER) > MAX_QUEUED;
    }

    /** POST /submissions; {@code body} is null when it was too large or incomplete. */
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

    /** GET /submissions/{id}. */
    public void get(String jobId, Consumer<Response> answer) {
        if (!JobSpec.validId(jobId)) {
            answer.accept(JobApiResponses.unknownJob());
        } else if (context.finalStates().known(jobId) == null && overloaded()) {
            answer.accept(JobApiResponses.retryLater());
        } else {
            queries.query(jobId, answer);
        }
    }

    /** POST /submissions/{id}/abort. */
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

    /** The mod revision of the header decides between the cancellation and the end of the job's last task. */
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
