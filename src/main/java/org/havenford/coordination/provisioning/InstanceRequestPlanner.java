package org.havenford.coordination.provisioning;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.InstanceRequest;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;

/** Decides which instances are requested for the machines that are missing, and in which zones. */
final class InstanceRequestPlanner {
    /** Machines of one offer that are to be requested. */
    record PlannedRequest(InstanceOffer offer, int count) {}

    /** The cloud's limit of machines in one call. */
    private static final int MAX_MACHINES_PER_REQUEST = 50;
    /** Instance requests that are open at a time. */
    private static final int MAX_OPEN_REQUESTS = 3;
    /** Machines that are requested at a time of an offer whose machines don't come up. */
    private static final int MACHINES_PER_TRIAL = 2;

    private final ClusterState clusterState;
    private final CapacityRefusals capacityRefusals;
    private final BootTimeEstimator bootTimeEstimator;

    InstanceRequestPlanner(
            ClusterState clusterState, CapacityRefusals capacityRefusals, BootTimeEstimator bootTimeEstimator) {
        this.clusterState = clusterState;
        this.capacityRefusals = capacityRefusals;
        this.bootTimeEstimator = bootTimeEstimator;
    }

    /** The requests to make, in this order. {@code boundToZones} is the need that can only be met in a certain zone. */
    List<PlannedRequest> plan(
            Instant now,
            InstanceCounts wanted,
            InstanceCounts present,
            Object2DoubleOpenHashMap<InstanceOffer> boundToZones) {
        List<PlannedRequest> planned = new ArrayList<>();
        InstanceCounts missing = new InstanceCounts();
        wanted.kinds().forEach(kind -> missing.add(kind, wanted.get(kind) - present.get(kind)));
        planForZones(boundToZones, missing, planned);
        List<InstanceKind> kinds = new ArrayList<>(wanted.kinds());
        kinds.sort(Comparator.comparing(InstanceKind::spot).reversed().thenComparing(InstanceKind::type));
        for (InstanceKind kind : kinds) {
            planForKind(kind, missing.get(kind), now, planned);
        }
        return planned;
    }

    /** First what can't be met elsewhere. */
    private void planForZones(
            Object2DoubleOpenHashMap<InstanceOffer> boundToZones,
            InstanceCounts missing,
            List<PlannedRequest> planned) {
        if (boundToZones.isEmpty()) {
            return;
        }
        Map<InstanceOffer, Integer> present = presentByOffer();
        List<InstanceOffer> offers = new ArrayList<>(boundToZones.keySet());
        offers.sort(Comparator.comparing(InstanceOffer::zone)
                .thenComparing(offer -> offer.kind().type())
                .thenComparing(offer -> offer.kind().spot()));
        for (InstanceOffer offer : offers) {
            int needed = FleetSizeTarget.wholeMachines(boundToZones.getDouble(offer));
            int count = Math.min(needed - present.getOrDefault(offer, 0), maxMachines(offer));
            if (count > 0 && mayRequestMore(planned)) {
                planned.add(new PlannedRequest(offer, count));
                missing.add(offer.kind(), -count);
            }
        }
    }

    /** Machines that are up, boot or have been requested, by offer. */
    private Map<InstanceOffer, Integer> presentByOffer() {
        Map<InstanceOffer, Integer> present = new HashMap<>();
        for (MachineRecord machine : clusterState.machines()) {
            boolean stays = machine.condition() == Condition.UP || machine.condition() == Condition.BOOTING;
            if (stays) {
                present.merge(InstanceOffer.of(machine), 1, Integer::sum);
            }
        }
        for (InstanceRequest request : clusterState.instanceRequests()) {
            present.merge(InstanceOffer.of(request), request.count(), Integer::sum);
        }
        return present;
    }

    /** In the zones that have the fewest machines; a need that is large is spread over the zones. */
    private void planForKind(InstanceKind kind, int missing, Instant now, List<PlannedRequest> planned) {
        if (missing <= 0) {
            return;
        }
        int left = missing;
        List<String> zones = zonesByMachines(kind, now);
        for (int i = 0; i < zones.size() && left > 0 && mayRequestMore(planned); i++) {
            int zonesLeft = zones.size() - i;
            int evenShare = (left + zonesLeft - 1) / zonesLeft;
            InstanceOffer offer = new InstanceOffer(kind, zones.get(i));
            int count = Math.min(maxMachines(offer), left <= MAX_MACHINES_PER_REQUEST / 2 ? left : evenShare);
            if (count > 0) {
                planned.add(new PlannedRequest(offer, count));
                left -= count;
            }
        }
    }

    /** Zones that did not refuse the kind lately: those where machines come up first, then those with the fewest machines. */
    private List<String> zonesByMachines(InstanceKind kind, Instant now) {
        Map<String, Integer> machinesByZone = new HashMap<>();
        for (MachineRecord machine : clusterState.machines()) {
            if (machine.type().equals(kind.type())) {
                machinesByZone.merge(machine.zone(), 1, Integer::sum);
            }
        }
        List<String> zones =
                new ArrayList<>(clusterState.types().get(kind.type()).zones());
        zones.removeIf(zone -> capacityRefusals.wasRefusedLately(new InstanceOffer(kind, zone), now));
        zones.sort(
                Comparator.comparing((String zone) -> bootTimeEstimator.isFailingToBoot(new InstanceOffer(kind, zone)))
                        .thenComparing(zone -> machinesByZone.getOrDefault(zone, 0))
                        .thenComparing(zone -> zone));
        return zones;
    }

    /** Machines of an offer that may be requested at once: few, and at intervals, where they don't come up. */
    private int maxMachines(InstanceOffer offer) {
        if (!bootTimeEstimator.isFailingToBoot(offer)) {
            return MAX_MACHINES_PER_REQUEST;
        }
        boolean isRequested = clusterState.instanceRequests().stream()
                .anyMatch(request -> InstanceOffer.of(request).equals(offer));
        return !isRequested && bootTimeEstimator.mayRetry(offer) ? MACHINES_PER_TRIAL : 0;
    }

    private boolean mayRequestMore(List<PlannedRequest> planned) {
        return clusterState.instanceRequests().size() + planned.size() < MAX_OPEN_REQUESTS;
    }
}
