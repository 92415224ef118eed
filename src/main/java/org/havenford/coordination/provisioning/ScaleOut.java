package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.havenford.coordination.provisioning.InstanceRequestPlanner.PlannedRequest;
import org.havenford.protocol.CloudMessages;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.InstanceRequest;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineBatch;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests instances from the cloud. Each instance request is stored before the cloud is called, and its name is passed
 * to the cloud as an idempotency key. After a failover, the next provisioning leader can repeat the call without
 * launching machines twice.
 */
final class ScaleOut {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);
    private static final String REQUEST_NAME_PREFIX = "r";
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NO_CAPACITY = 503;

    private final ProvisioningContext context;
    private final CapacityRefusals capacityRefusals;
    /** Instance requests with a call to the cloud or a write of their outcome in flight. */
    private final Set<String> requestsInFlight = new HashSet<>();

    private boolean writeInFlight;

    ScaleOut(ProvisioningContext context, CapacityRefusals capacityRefusals) {
        this.context = context;
        this.capacityRefusals = capacityRefusals;
    }

    /** Resets the in-memory state; called when this controller becomes the provisioning leader. */
    void reset() {
        requestsInFlight.clear();
        writeInFlight = false;
    }

    /** Stores the planned instance requests, unless an earlier write is still in flight. */
    void storeRequests(List<PlannedRequest> planned) {
        Transaction transaction = new Transaction();
        planned.forEach(request -> addToTransaction(request, transaction));
        if (transaction.operationCount() > 0 && !writeInFlight) {
            writeInFlight = true;
            context.write(transaction, ok -> writeInFlight = false);
        }
    }

    private void addToTransaction(PlannedRequest planned, Transaction transaction) {
        String name = context.uniqueName(REQUEST_NAME_PREFIX);
        InstanceOffer offer = planned.offer();
        InstanceRequest request = new InstanceRequest(
                name,
                offer.kind().type(),
                offer.zone(),
                offer.kind().spot(),
                planned.count(),
                context.loop().timeOfDay());
        transaction.requireRevision(Keys.instanceRequest(name), 0).put(Keys.instanceRequest(name), request.toJson());
    }

    /** Sends the stored instance requests that are not in flight to the cloud. */
    void sendRequests() {
        for (InstanceRequest request : List.copyOf(context.clusterState().instanceRequests())) {
            if (requestsInFlight.contains(request.name())) {
                continue;
            }
            String body = CloudMessages.instanceRequestBody(
                    request.name(), request.type(), request.zone(), request.spot(), request.count());
            if (context.cloudClient().tryCall("POST", "/machines", body, reply -> onReply(request, reply))) {
                requestsInFlight.add(request.name());
            }
        }
    }

    private void onReply(InstanceRequest request, HttpCalls.Reply reply) {
        if (reply.ok()) {
            try {
                onLaunched(request, CloudMessages.parseLaunchedMachines(reply.body()));
                return;
            } catch (MalformedMessageException e) {
                LOG.warn("unreadable reply of the cloud to an instance request: error=\"{}\"", e.getMessage());
            }
        } else if (reply.status() == STATUS_NO_CAPACITY || reply.status() == STATUS_BAD_REQUEST) {
            capacityRefusals.recordRefusal(
                    InstanceOffer.of(request), context.loop().now());
            complete(request, deletionOf(request));
            return;
        }
        context.loop().after(RETRY_DELAY, () -> requestsInFlight.remove(request.name()));
    }

    private void onLaunched(InstanceRequest request, List<String> machines) {
        LOG.info(
                "instances launched: launched={} requested={} type={} zone={} spot={}",
                machines.size(),
                request.count(),
                request.type(),
                request.zone(),
                request.spot());
        if (machines.size() < request.count()) {
            capacityRefusals.recordRefusal(
                    InstanceOffer.of(request), context.loop().now());
        }
        recordBatch(request, machines);
    }

    /** Replaces an instance request by a batch of its launched machines, in one transaction. */
    private void recordBatch(InstanceRequest request, List<String> machines) {
        Transaction transaction = deletionOf(request);
        List<String> unrecorded = machines.stream()
                .filter(name -> context.clusterState().machine(name) == null)
                .toList();
        if (!unrecorded.isEmpty()) {
            Instant since = context.loop().timeOfDay();
            MachineBatch batch =
                    MachineBatch.of(request.name(), request.type(), request.zone(), request.spot(), since, unrecorded);
            transaction.requireRevision(Keys.batch(request.name()), 0).put(Keys.batch(request.name()), batch.toJson());
        }
        complete(request, transaction);
    }

    private Transaction deletionOf(InstanceRequest request) {
        String key = Keys.instanceRequest(request.name());
        return new Transaction()
                .requireRevision(key, context.replica().modRevision(key))
                .delete(key);
    }

    private void complete(InstanceRequest request, Transaction transaction) {
        context.write(transaction, ok -> requestsInFlight.remove(request.name()));
    }
}
