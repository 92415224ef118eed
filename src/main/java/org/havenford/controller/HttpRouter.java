package org.havenford.controller;

import java.util.function.Consumer;
import org.havenford.coordination.jobs.JobApi;
import org.havenford.transport.HttpServer;
import org.havenford.transport.HttpServer.Request;
import org.havenford.transport.HttpServer.Response;

/** Routes requests to the handlers of a controller by method and path. */
final class HttpRouter implements HttpServer.Handler {
    private static final String GET = "GET";
    private static final String POST = "POST";
    private static final String HEARTBEATS = "/checkin";
    private static final String HEALTH = "/healthz";
    private static final String JOBS = "/submissions";
    private static final String JOB_PREFIX = JOBS + "/";
    private static final String CANCEL_SUFFIX = "/abort";

    private static final Response NO_SUCH_PATH = Response.of(404, "{\"error\":\"no such path\"}");
    private static final Response METHOD_NOT_ALLOWED = Response.of(405, "{\"error\":\"method not allowed\"}");

    private final JobApi jobApi;
    private final HeartbeatEndpoint heartbeats;
    private final HealthCheck health;

    HttpRouter(JobApi jobApi, HeartbeatEndpoint heartbeats, HealthCheck health) {
        this.jobApi = jobApi;
        this.heartbeats = heartbeats;
        this.health = health;
    }

    @Override
    public void handle(Request request, Consumer<Response> answer) {
        String path = request.path();
        boolean post = request.method().equals(POST);
        boolean get = request.method().equals(GET);
        if (path.equals(HEARTBEATS) && post) {
            answer.accept(heartbeats.handle(request.body()));
        } else if (path.equals(HEALTH) && get) {
            answer.accept(health.check());
        } else if (path.equals(JOBS) && post) {
            jobApi.submit(request.body(), answer);
        } else if (path.startsWith(JOB_PREFIX)) {
            handleJob(request, path.substring(JOB_PREFIX.length()), answer);
        } else {
            answer.accept(NO_SUCH_PATH);
        }
    }

    /**
     * Handles a request for one job.
     *
     * @param rest the path without {@link #JOB_PREFIX}: a job id, followed by {@link #CANCEL_SUFFIX} for a cancellation
     */
    private void handleJob(Request request, String rest, Consumer<Response> answer) {
        if (request.method().equals(POST) && rest.endsWith(CANCEL_SUFFIX)) {
            jobApi.cancel(rest.substring(0, rest.length() - CANCEL_SUFFIX.length()), answer);
        } else if (request.method().equals(GET)) {
            jobApi.get(rest, answer);
        } else {
            answer.accept(METHOD_NOT_ALLOWED);
        }
    }
}
