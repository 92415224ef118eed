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
    private static final Duration IMAGES_PUBLISH_INTERVAL = Duration.ofSeconds(8);
    /** Average number of machines per key above which a key is added; the rest of a key's capacity is left for growth. */
    private static final int INITIAL_MACHINES = MachineStatuses.MAX_MACHINES * 3 / 4;

    /** The last stored value of one key. */
    private static final class Part {
        private Map<String, MachineStatuses.Status> stored;
        private Instant publishedAt;
        private boolean inFlight;
    }

    private final EventLoop loop;
    private final PlatformSettings settings;
    private final ClusterState clusterState;
    private final StoreReplica replica;
    private final StoreClient store;
    private final List<Part> parts = new ArrayList<>();

    MachineStatusPublisher(AgentContext context) {
        this.loop = context.loop();
        this.settings = context.settings();
        this.clusterState = context.clusterState();
        this.replica = context.replica();
        this.store = context.store();
        parts.add(new Part());
    }

    /** Publishes the changed statuses of the given agents' machines. */
    void publish(Iterable<AgentState> agents, Instant now) {
        List<AgentState> known = new ArrayList<>();
        for (AgentState agent : agents) {
            if (agent.condition() != Condition.BOOTING && clusterState.machine(agent.machine()) != null) {
                known.add(agent);
            }
        }
        // The number of keys never shrinks, so that few machines move to another key.
        while (parts.size() * INITIAL_MACHINES < known.size()) {
            parts.add(new Part());
        }
        List<SortedMap<String, MachineStatuses.Status>> split = split(known);
        for (int i = 0; i < parts.size(); i++) {
            publish(i, split.get(i), now);
        }
    }

    private List<SortedMap<String, MachineStatuses.Status>> split(List<AgentState> agents) {
        List<SortedMap<String, MachineStatuses.Status>> split = new ArrayList<>();
        for (int i = 0; i < parts.size(); i++) {
            split.add(new TreeMap<>());
        }
        for (AgentState agent : agents) {
            int part = (agent.machine().hashCode() & Integer.MAX_VALUE) % parts.size();
            for (int i = 0; i < parts.size() && split.get(part).size() >= MachineStatuses.MAX_MACHINES; i++) {
                part = (part + 1) % parts.size();
            }
            List<String> images = agent.images() == null
                    ? clusterState.machine(agent.machine()).images()
                    : agent.images();
            split.get(part).put(agent.machine(), new MachineStatuses.Status(agent.condition(), images));
        }
        return split;
    }

    private void publish(int index, SortedMap<String, MachineStatuses.Status> statuses, Instant now) {
        Part part = parts.get(index);
        if (part.inFlight || statuses.equals(part.stored)) {
            return;
        }
        boolean conditionsChanged = conditionsChanged(statuses, part);
        Duration interval = conditionsChanged && !store.underPressure() ? PUBLISH_INTERVAL : IMAGES_PUBLISH_INTERVAL;
        if (part.publishedAt != null && now.isBefore(part.publishedAt.plus(interval))) {
            return;
        }
        MachineStatuses value = new MachineStatuses(loop.timeOfDay(), statuses);
        Transaction transaction = new Transaction()
                .put(Keys.machineStatuses(settings.node(), index), value.toJson(settings.valueBytes()));
        part.inFlight = true;
        part.publishedAt = now;
        CallPriority priority = conditionsChanged ? CallPriority.WORK : CallPriority.SPARE;
        store.commit(transaction, priority, result -> {
            part.inFlight = false;
            if (result.ok()) {
                part.stored = statuses;
                replica.applyCommitted(transaction, result.revision());
            }
        });
    }

    /** Returns whether a condition is new or has changed. Machines that are gone are ignored, as their records show it. */
    private static boolean conditionsChanged(Map<String, MachineStatuses.Status> statuses, Part part) {
        if (part.stored == null) {
            return true;
        }
        for (Map.Entry<String, MachineStatuses.Status> entry : statuses.entrySet()) {
            MachineStatuses.Status before = part.stored.get(entry.getKey());
            if (before == null || before.condition() != entry.getValue().condition()) {
                return true;
            }
        }
        return false;
    }
}
