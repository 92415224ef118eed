package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.CallPriority;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineRecord.Condition;
import org.havenford.storage.records.MachineStatuses;
import org.havenford.transport.EventLoop;

/**
 * Stores the statuses of this controller's machines for the other controllers and for a new owner. The machines are divided
 * among several keys, and only keys with changes are written.
 */
final class MachineStatusPublisher {
    private static final Duration PUBLISH_INTERVAL = Duration.ofSeconds(2);
    /** Interval for keys where only cached images have changed, and for all keys while the store is under pressure. */
    private static final Duration SLOW_PUBLISH_INTERVAL = Duration.ofSeconds(8);
    /** Average number of machines per key above which a key is added; the rest of a key's capacity is left for growth. */
    private static final int TARGET_MACHINES_PER_SHARD = MachineStatuses.MAX_MACHINES * 3 / 4;

    /** The state of one key, which holds the statuses of some of the machines. */
    private static final class Shard {
        private Map<String, MachineStatuses.Status> stored;
        private Instant publishedAt;
        private boolean inFlight;
    }

    private final EventLoop loop;
    private final PlatformSettings settings;
    private final ClusterState clusterState;
    private final StoreReplica replica;
    private final StoreClient store;
    private final List<Shard> shards = new ArrayList<>();

    MachineStatusPublisher(AgentContext context) {
        this.loop = context.loop();
        this.settings = context.settings();
        this.clusterState = context.clusterState();
        this.replica = context.replica();
        this.store = context.store();
        shards.add(new Shard());
    }

    /** Publishes the changed statuses of the given agents' machines. */
    void publish(Iterable<AgentState> agents, Instant now) {
        List<AgentState> publishable = new ArrayList<>();
        for (AgentState agent : agents) {
            if (agent.condition() != Condition.BOOTING && clusterState.machine(agent.machine()) != null) {
                publishable.add(agent);
            }
        }
        // The number of keys never shrinks, so that few machines move to another key.
        while (shards.size() * TARGET_MACHINES_PER_SHARD < publishable.size()) {
            shards.add(new Shard());
        }
        List<SortedMap<String, MachineStatuses.Status>> statusesByShard = divideIntoShards(publishable);
        for (int i = 0; i < shards.size(); i++) {
            publish(i, statusesByShard.get(i), now);
        }
    }

    private List<SortedMap<String, MachineStatuses.Status>> divideIntoShards(List<AgentState> agents) {
        List<SortedMap<String, MachineStatuses.Status>> statusesByShard = new ArrayList<>();
        for (int i = 0; i < shards.size(); i++) {
            statusesByShard.add(new TreeMap<>());
        }
        for (AgentState agent : agents) {
            int shard = (agent.machine().hashCode() & Integer.MAX_VALUE) % shards.size();
            for (int i = 0;
                    i < shards.size() && statusesByShard.get(shard).size() >= MachineStatuses.MAX_MACHINES;
                    i++) {
                shard = (shard + 1) % shards.size();
            }
            List<String> images = agent.images() == null
                    ? clusterState.machine(agent.machine()).images()
                    : agent.images();
            statusesByShard.get(shard).put(agent.machine(), new MachineStatuses.Status(agent.condition(), images));
        }
        return statusesByShard;
    }

    private void publish(int index, SortedMap<String, MachineStatuses.Status> statuses, Instant now) {
        Shard shard = shards.get(index);
        if (shard.inFlight || statuses.equals(shard.stored)) {
            return;
        }
        boolean conditionsChanged = conditionsChanged(statuses, shard);
        Duration interval = conditionsChanged && !store.underPressure() ? PUBLISH_INTERVAL : SLOW_PUBLISH_INTERVAL;
        if (shard.publishedAt != null && now.isBefore(shard.publishedAt.plus(interval))) {
            return;
        }
        MachineStatuses value = new MachineStatuses(loop.timeOfDay(), statuses);
        Transaction transaction = new Transaction()
                .put(Keys.machineStatuses(settings.node(), index), value.toJson(settings.valueBytes()));
        shard.inFlight = true;
        shard.publishedAt = now;
        CallPriority priority = conditionsChanged ? CallPriority.WORK : CallPriority.SPARE;
        store.commit(transaction, priority, result -> {
            shard.inFlight = false;
            if (result.ok()) {
                shard.stored = statuses;
                replica.applyCommitted(transaction, result.revision());
            }
        });
    }

    /** Returns whether a condition is new or has changed. Machines that are gone are ignored, as their records show it. */
    private static boolean conditionsChanged(Map<String, MachineStatuses.Status> statuses, Shard shard) {
        if (shard.stored == null) {
            return true;
        }
        for (Map.Entry<String, MachineStatuses.Status> entry : statuses.entrySet()) {
            MachineStatuses.Status previous = shard.stored.get(entry.getKey());
            if (previous == null || previous.condition() != entry.getValue().condition()) {
                return true;
            }
        }
        return false;
    }
}
