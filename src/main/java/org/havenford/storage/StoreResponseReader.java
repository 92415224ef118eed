package org.havenford.storage;

import com.google.gson.JsonObject;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Derives the result of a call from the HTTP response. */
final class StoreResponseReader {
    /** Status of a request that exceeded the store's limits and was not executed. */
    static final int TOO_MANY_REQUESTS = 429;

    private static final Logger LOG = LoggerFactory.getLogger(StoreResponseReader.class);
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;

    private StoreResponseReader() {}

    /** Returns the result of the call that a response answers. */
    static StoreResult read(HttpCalls.Reply reply, StoreCall.Request request) {
        if (reply.body().isEmpty()) {
            return readWithoutBody(reply, request);
        }
        try {
            return result(reply, request, Json.object(reply.body()));
        } catch (MalformedMessageException e) {
            LOG.warn(
                    "malformed response from the store: method={} path={} status={} error={}",
                    request.method(),
                    request.path(),
                    reply.status(),
                    e.getMessage());
            return StoreResult.withoutResponse(StoreOutcome.UNKNOWN);
        }
    }

    /** A status alone does not show that the store has sent it where the store would have sent a body as well. */
    private static StoreResult readWithoutBody(HttpCalls.Reply reply, StoreCall.Request request) {
        boolean needsBody =
                switch (outcome(reply.status())) {
                    case OK, CONFLICT, ABSENT -> request.responseBody() == StoreCall.ResponseBody.REQUIRED;
                    default -> false;
                };
        if (!needsBody) {
            return result(reply, request, null);
        }
        LOG.warn(
                "response from the store lacks its body: method={} path={} status={}",
                request.method(),
                request.path(),
                reply.status());
        return StoreResult.withoutResponse(StoreOutcome.UNKNOWN);
    }

    private static StoreResult result(HttpCalls.Reply reply, StoreCall.Request request, JsonObject body) {
        if (reply.status() == BAD_REQUEST) {
            logBadRequest(reply, request);
        } else if (reply.status() == GONE) {
            LOG.warn(
                    "request rejected by the store: method={} path={} status={} body={}",
                    request.method(),
                    request.path(),
                    reply.status(),
                    reply.body());
        }
        return new StoreResult(outcome(reply.status()), body);
    }

    private static StoreOutcome outcome(int status) {
        return switch (status) {
            case OK -> StoreOutcome.OK;
            case NOT_FOUND -> StoreOutcome.ABSENT;
            case CONFLICT -> StoreOutcome.CONFLICT;
            case TOO_MANY_REQUESTS, UNAVAILABLE, HttpCalls.NOT_SENT -> StoreOutcome.NOT_EXECUTED;
            case BAD_REQUEST, GONE -> StoreOutcome.REJECTED;
            default -> StoreOutcome.UNKNOWN;
        };
    }

    private static void logBadRequest(HttpCalls.Reply reply, StoreCall.Request request) {
        LOG.error(
                "request malformed or too large for the store: method={} path={} characters={} operations={} body={}",
                request.method(),
                request.path(),
                request.body() == null ? 0 : request.body().length(),
                request.operationCount(),
                reply.body());
    }
}
