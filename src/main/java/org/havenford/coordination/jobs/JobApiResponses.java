package org.havenford.coordination.jobs;

import com.google.gson.JsonObject;
import java.time.Duration;
import org.havenford.storage.records.FinalState;
import org.havenford.transport.HttpServer.Response;

/** Builds the responses of the job API. */
final class JobApiResponses {
    static final int BAD_REQUEST = 400;
    static final int UNPROCESSABLE = 422;
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int NOT_FOUND = 404;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    // Field names and status values of the public API, which must not change.
    private static final String ERROR = "error";
    private static final String JOB_ID = "nameId";
    private static final String STATUS = "status";
    private static final String DONE_TASKS = "done";
    private static final String RUNNING_TASKS = "running";
    private static final String PENDING = "pending";
    private static final String RUNNING = "running";

    private JobApiResponses() {}

    static Response error(int status, String reason) {
        JsonObject body = new JsonObject();
        body.addProperty(ERROR, reason);
        return Response.of(status, body.toString());
    }

    static Response unknownJob() {
        return error(NOT_FOUND, "no such job");
    }

    static boolean isUnknownJob(Response response) {
        return response.status() == NOT_FOUND;
    }

    /** Returns a 503 response with a {@code Retry-After} header, for requests that cannot be answered reliably now. */
    static Response retryLater() {
        return Response.unavailable(RETRY_AFTER);
    }

    static Response accepted(String jobId) {
        return Response.of(CREATED, state(jobId, PENDING).toString());
    }

    static Response cancelled(String jobId) {
        return Response.of(OK, state(jobId, FinalState.Status.CANCELLED.text()).toString());
    }

    static Response ended(String jobId, FinalState state) {
        return progress(jobId, state.status().text(), state.doneTasks(), 0);
    }

    /** Returns the response for a cancelled job that has not ended yet. */
    static Response beingCancelled(String jobId, int doneTasks) {
        return progress(jobId, FinalState.Status.CANCELLED.text(), doneTasks, 0);
    }

    static Response unfinished(String jobId, int doneTasks, int runningTasks) {
        return progress(jobId, runningTasks > 0 ? RUNNING : PENDING, doneTasks, runningTasks);
    }

    private static Response progress(String jobId, String status, int doneTasks, int runningTasks) {
        JsonObject body = state(jobId, status);
        body.addProperty(DONE_TASKS, doneTasks);
        body.addProperty(RUNNING_TASKS, runningTasks);
        return Response.of(OK, body.toString());
    }

    private static JsonObject state(String jobId, String status) {
        JsonObject body = new JsonObject();
        body.addProperty(JOB_ID, jobId);
        body.addProperty(STATUS, status);
        return body;
    }
}
