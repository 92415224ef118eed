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
 * Stores the status of this controller's machines for the other controllers and for a successor: some machines under each
 * key, and only those keys where something has changed.
 */
final class MachineStatusPublisher {
    private static final Duration PUBLISH_EVERY = Duration.ofSeconds(2);
    /** Where only cached images have changed, or changes are scarce. */
    private static final Duration PUBLISH_IMAGES_EVERY = Duration.ofSeconds(8);
    /** Machines under one key to begin with; the rest of the room is for those that come later. */
    private static final int USUAL_MACHINES = MachineStatuses.MAX_MACHINES * 3 / 4;

    /** What was last stored under one key. */
    private static final class Part {
        private Map<String, MachineStatuses.Status> stored;
        private Instant at = Instant.MIN;
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

    /** Publishes what has changed of the given machines. */
    void publish(Iterable<AgentState> machines, Instant now) {
        List<AgentState> known = new ArrayList<>();
        for (AgentState m : machines) {
            if (m.condition != Condition.BOOTING && clusterState.machine(m.name) != null) {
                known.add(m);
            }
        }
        // Parts only grow in number, so that few machines change their part.
        while (parts.size() * USUAL_MACHINES < known.size()) {
            parts.add(new Part());
        }
        List<SortedMap<String, MachineStatuses.Status>> split = split(known);
        for (int i = 0; i < parts.size(); i++) {
            publish(i, split.get(i), now);
        }
    }

    private List<SortedMap<String, MachineStatuses.Status>> split(List<AgentState> machines) {
        List<SortedMap<String, MachineStatuses.Status>> split = new ArrayList<>();
        for (int i = 0; i < parts.size(); i++) {
            split.add(new TreeMap<>());
        }
        for (AgentState m : machines) {
            int part = (m.name.hashCode() & Integer.MAX_VALUE) % parts.size();
            for (int i = 0; i < parts.size() && split.get(part).size() >= MachineStatuses.MAX_MACHINES; i++) {
                part = (part + 1) % parts.size();
            }
            List<String> images =
                    m.images == null ? clusterState.machine(m.name).images() : m.images;
            split.get(part).put(m.name, new MachineStatuses.Status(m.condition, images));
        }
        return split;
    }

    private void publish(int index, SortedMap<String, MachineStatuses.Status> statuses, Instant now) {
        Part part = parts.get(index);
        if (part.inFlight || statuses.equals(part.stored)) {
            return;
        }
        boolean conditionsChanged = conditionsChanged(statuses, part);
        Duration every = conditionsChanged && !store.underPressure() ? PUBLISH_EVERY : PUBLISH_IMAGES_EVERY;
        if (now.isBefore(part.at.plus(every))) {
            return;
        }
        MachineStatuses value = new MachineStatuses(loop.timeOfDay(), statuses);
        Transaction transaction = new Transaction()
                .put(Keys.machineStatuses(settings.node(), index), value.toJson(settings.valueBytes()));
        part.inFlight = true;
        part.at = now;
        CallPriority urgency = conditionsChanged ? CallPriority.WORK : CallPriority.SPARE;
        store.commit(transaction, urgency, result -> {
            part.inFlight = false;
            if (result.ok()) {
                part.stored = statuses;
                replica.applyCommitted(transaction, result.revision());
            }
        });
    }

    /** A machine that is gone does not count: its record says so. */
    private static boolean conditionsChanged(Map<String, MachineStatuses.Status> statuses, Part part) {
        if (part.stored == null) {
            return true;
        }
        for (Map.Entry<String, MachineStatuses.Status> e : statuses.entrySet()) {
            MachineStatuses.Status before = part.stored.get(e.getKey());
            if (before == null || before.condition() != e.getValue().condition()) {
                return true;
            }
        }
        return false;
    }
}
