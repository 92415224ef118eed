package org.havenford.controller;

import com.google.gson.JsonObject;
import java.util.Optional;
import org.havenford.coordination.membership.Membership;
import org.havenford.coordination.monitoring.LinkMonitor;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreReplica;
import org.havenford.transport.HttpServer.Response;

/**
 * The readiness check: reports whether this controller can serve requests and, for operators, the reason if it cannot,
 * and the lost links.
 */
final class HealthCheck {
    private static final int READY_STATUS = 200;
    private static final int NOT_READY_STATUS = 503;
    private static final String READY = "ready";
    private static final String REASON = "reason";
    private static final String LOST_LINKS = "lostLinks";

    private final StoreReplica replica;
    private final Membership membership;
    private final ClusterState clusterState;
    private final LinkMonitor linkMonitor;

    HealthCheck(StoreReplica replica, Membership membership, ClusterState clusterState, LinkMonitor linkMonitor) {
        this.replica = replica;
        this.membership = membership;
        this.clusterState = clusterState;
        this.linkMonitor = linkMonitor;
    }

    /** Handles {@code GET /healthz}. */
    Response check() {
        Optional<String> reason = notReadyReason();
        JsonObject body = new JsonObject();
        body.addProperty(READY, reason.isEmpty());
        reason.ifPresent(text -> body.addProperty(REASON, text));
        body.add(LOST_LINKS, linkMonitor.toJson());
        return Response.of(reason.isEmpty() ? READY_STATUS : NOT_READY_STATUS, body.toString());
    }

    private Optional<String> notReadyReason() {
        if (!replica.loaded()) {
            return Optional.of("the state service has not been read");
        }
        if (!membership.holdsLease()) {
            return Optional.of("the membership lease is over");
        }
        if (clusterState.types().isEmpty()) {
            return Optional.of("the machine types are not known");
        }
        return Optional.empty();
    }
}
