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

/** Reads the machine types that the cloud offers, and stores them when they have changed. */
final class MachineTypeRefresher {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeRefresher.class);
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(45);
    /** Until the types are known. */
    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(5);

    private final ProvisioningContext context;
    private final DueTime refreshDue = new DueTime();
    /** The value that this process stored last; empty before. */
    private String storedTypes = "";

    MachineTypeRefresher(ProvisioningContext context) {
        this.context = context;
    }

    /** Asks the cloud for the types when they are due. */
    void step(Instant now) {
        if (refreshDue.isReached(now) && context.cloud().tryCall("GET", "/machine_types", null, this::onReply)) {
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
                // The view has just changed, so the types were not stored: they are read again.
                refreshDue.reset();
            }
        });
    }
}
