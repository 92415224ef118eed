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
    private static final String HEARTBEAT_PATH = "/checkin";
    private static final String HEALTH_PATH = "/healthz";
    private static final String JOBS_PATH = "/submissions";
    private static final String JOB_PATH_PREFIX = JOBS_PATH + "/";
    private static final String CANCEL_SUFFIX = "/abort";

    private static final Response NO_SUCH_PATH = Response.of(404, "{\"error\":\"no such path\"}");
    private static final Response METHOD_NOT_ALLOWED = Response.of(405, "{\"error\":\"method not allowed\"}");

    private final JobApi jobApi;
    private final HeartbeatEndpoint heartbeatEndpoint;
    private final HealthCheck healthCheck;

    HttpRouter(JobApi jobApi, HeartbeatEndpoint heartbeatEndpoint, HealthCheck healthCheck) {
        this.jobApi = jobApi;
        this.heartbeatEndpoint = heartbeatEndpoint;
        this.healthCheck = healthCheck;
    }

    @Override
    public void handle(Request request, Consumer<Response> callback) {
        String path = request.path();
        boolean isPost = request.method().equals(POST);
        boolean isGet = request.method().equals(GET);
        if (path.equals(HEARTBEAT_PATH) && isPost) {
            callback.accept(heartbeatEndpoint.handle(request.body()));
        } else if (path.equals(HEALTH_PATH) && isGet) {
            callback.accept(healthCheck.check());
        } else if (path.equals(JOBS_PATH) && isPost) {
            jobApi.submit(request.body(), callback);
        } else if (path.startsWith(JOB_PATH_PREFIX)) {
            handleJob(request, path.substring(JOB_PATH_PREFIX.length()), callback);
        } else {
            callback.accept(NO_SUCH_PATH);
        }
    }

    /**
     * Handles a request for one job.
     *
     * @param jobPath the path without {@link #JOB_PATH_PREFIX}: a job id, followed by {@link #CANCEL_SUFFIX} for a
     * cancellation
     */
    private void handleJob(Request request, String jobPath, Consumer<Response> callback) {
        if (request.method().equals(POST) && jobPath.endsWith(CANCEL_SUFFIX)) {
            jobApi.cancel(jobPath.substring(0, jobPath.length() - CANCEL_SUFFIX.length()), callback);
        } else if (request.method().equals(GET)) {
            jobApi.get(jobPath, callback);
        } else {
            callback.accept(METHOD_NOT_ALLOWED);
        }
    }
}
