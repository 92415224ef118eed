package org.havenford.coordination.agents;

import com.google.common.collect.Lists;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.havenford.coordination.membership.Membership;
import org.havenford.protocol.Heartbeat;
import org.havenford.storage.CallPriority;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineBatch;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates records for machines whose agents report but that have no record, such as machines of an instance request that the
 * cloud carried out late.
 */
final class MachineAdoption {
    private static final Logger LOG = LoggerFactory.getLogger(MachineAdoption.class);
    /** How long to wait for open instance requests, which may create the record of the machine once answered. */
    private static final Duration INSTANCE_REQUEST_TIMEOUT = Duration.ofSeconds(5);
    /** How long machines are collected before they are written, since many may be found at once. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(150);

    /** Properties that all machines of a batch share. */
    private record Kind(String type, String zone, boolean spot) {}

    private final EventLoop loop;
    private final ClusterState clusterState;
    private final StoreReplica replica;
    private final StoreClient store;
    private final Membership membership;
    private final String node;
    private final Map<String, Heartbeat> pending = new LinkedHashMap<>();
    private long batchCount;

    MachineAdoption(AgentContext context) {
        this.loop = context.loop();
        this.clusterState = context.clusterState();
        this.replica = context.replica();
        this.store = context.store();
        this.membership = context.membership();
        this.node = context.node();
    }

    /**
     * Handles a heartbeat from a machine without a record. While instance requests are open, adoption is postponed,
     * because a machine that was just rented gets its record when its request is answered.
     */
    void handleHeartbeat(AgentState agent, Heartbeat heartbeat) {
        Instant now = loop.now();
        Instant unrecordedSince = agent.unrecordedSince(now);
        boolean requestsOpen = !clusterState.instanceRequests().isEmpty()
                && now.isBefore(unrecordedSince.plus(INSTANCE_REQUEST_TIMEOUT));
        if (requestsOpen || pending.containsKey(agent.machine())) {
            return;
        }
        LOG.info("adopting unrecorded machine: machine={}", agent.machine());
        if (pending.isEmpty()) {
            loop.after(BATCH_DELAY, this::writePending);
        }
        pending.put(agent.machine(), heartbeat);
    }

    private void writePending() {
        Map<String, List<Heartbeat>> heartbeatsByKind = new TreeMap<>();
        for (Heartbeat heartbeat : pending.values()) {
            boolean owned = node.equals(membership.owner(heartbeat.machine()));
            if (owned && clusterState.machine(heartbeat.machine()) == null) {
                Kind kind = new Kind(heartbeat.type(), heartbeat.zone(), heartbeat.spot());
                heartbeatsByKind
                        .computeIfAbsent(kind.toString(), k -> new ArrayList<>())
                        .add(heartbeat);
            }
        }
        pending.clear();
        for (List<Heartbeat> heartbeats : heartbeatsByKind.values()) {
            for (List<Heartbeat> batch : Lists.partition(heartbeats, MachineBatch.MAX_MACHINES)) {
                writeBatch(batch);
            }
        }
    }

    private void writeBatch(List<Heartbeat> heartbeats) {
        Long incarnation = membership.view().members().get(node);
        if (incarnation == null) {
            return;
        }
        String name = "a-" + node + "-" + incarnation + "-" + ++batchCount;
        Heartbeat first = heartbeats.get(0);
        List<String> machines = heartbeats.stream().map(Heartbeat::machine).toList();
        MachineBatch batch =
                MachineBatch.of(name, first.type(), first.zone(), first.spot(), loop.timeOfDay(), machines);
        Transaction transaction = new Transaction()
                .requireRevision(Keys.VIEW, membership.viewRevision())
                .requireRevision(Keys.batch(name), 0)
                .put(Keys.batch(name), batch.toJson());
        store.commit(transaction, CallPriority.WORK, result -> {
            if (result.ok()) {
                replica.applyCommitted(transaction, result.revision());
            }
        });
    }
}
