package org.havenford.coordination.provisioning;

import com.google.gson.JsonObject;
import java.time.Duration;
import java.time.Instant;
import org.havenford.protocol.Json;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Fetches the machine types from the cloud at regular intervals, and stores them if they have changed. */
final class MachineTypeRefresher {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeRefresher.class);
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(45);
    /** Refresh interval as long as no types are known. */
    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(5);

    private final ProvisioningContext context;
    private final DueTime refreshDue = new DueTime();
    /** The types last stored by this process, as JSON text; empty if it has stored none. */
    private String storedTypes = "";

    MachineTypeRefresher(ProvisioningContext context) {
        this.context = context;
    }

    /** Requests the types from the cloud if a refresh is due. */
    void step(Instant now) {
        if (refreshDue.isReached(now) && context.cloudClient().tryCall("GET", "/machine_types", null, this::onReply)) {
            refreshDue.postponeTo(now.plus(REPLY_TIMEOUT));
        }
    }

    private void onReply(HttpCalls.Reply reply) {
        boolean typesKnown = !context.clusterState().types().isEmpty();
        refreshDue.postponeTo(context.loop().now().plus(typesKnown ? REFRESH_INTERVAL : RETRY_INTERVAL));
        if (!reply.ok()) {
            return;
        }
        try {
            store(MachineType.toJson(MachineType.parseAll(Json.object(reply.body()))));
        } catch (MalformedMessageException e) {
            LOG.warn("unreadable machine types from the cloud: error=\"{}\"", e.getMessage());
        }
    }

    private void store(JsonObject types) {
        String text = types.toString();
        if (text.equals(storedTypes)) {
            return;
        }
        context.write(new Transaction().put(Keys.TYPES, types), ok -> {
            if (ok) {
                storedTypes = text;
            } else {
                // The write failed, for instance because the view has changed, so the types are fetched again.
                refreshDue.reset();
            }
        });
    }
}
