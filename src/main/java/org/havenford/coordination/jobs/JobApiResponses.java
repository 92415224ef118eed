package org.havenford.coordination.jobs;

import com.google.gson.JsonObject;
import java.time.Duration;
import org.havenford.storage.records.FinalState;
import org.havenford.transport.HttpServer.Response;

/** The responses that users are given. */
final class JobApiResponses {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final String PENDING = "pending";
    private static final String RUNNING = "running";

    private JobApiResponses() {}

    static Response error(int status, String reason) {
        JsonObject body = new JsonObject();
        body.addProperty("error", reason);
        return Response.of(status, body.toString());
    }

    static Response unknownJob() {
        return error(404, "no such job");
    }

    /** Nothing can be said for sure at present; the user is told when to come back. */
    static Response retryLater() {
        return Response.comeBack(RETRY_AFTER);
    }

    static Response accepted(String id) {
        return Response.of(201, state(id, PENDING));
    }

    static Response cancelled(String id) {
        return Response.of(200, state(id, FinalState.Status.CANCELLED.text()));
    }

    static Response ended(String id, FinalState state) {
        return Response.of(200, progress(id, state.status().text(), state.doneTasks(), 0));
    }

    /** A job that is cancelled, but not over. */
    static Response beingCancelled(String id, int done) {
        return Response.of(200, progress(id, FinalState.Status.CANCELLED.text(), done, 0));
    }

    static Response unfinished(String id, int done, int running) {
        return Response.of(200, progress(id, running > 0 ? RUNNING : PENDING, done, running));
    }

    private static String state(String id, String status) {
        return "{\"nameId\":\"" + id + "\",\"status\":\"" + status + "\"}";
    }

    private static String progress(String id, String status, int done, int running) {
        return "{\"nameId\":\"" + id + "\",\"status\":\"" + status + "\",\"done\":" + done + ",\"running\":" + running
                + "}";
    }
}
