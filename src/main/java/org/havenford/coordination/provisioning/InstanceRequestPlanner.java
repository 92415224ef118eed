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

/** Plans instance requests for the machines that are missing, and chooses their zones. */
final class InstanceRequestPlanner {
    /** A number of machines to request from one offer. */
    record PlannedRequest(InstanceOffer offer, int count) {}

    /** The cloud's limit on the number of machines in one request. */
    private static final int MAX_MACHINES_PER_REQUEST = 50;
    /** Maximum number of instance requests that are open at the same time. */
    private static final int MAX_OPEN_REQUESTS = 3;
    /** Maximum number of machines in one request for an offer that fails to boot. */
    private static final int MAX_MACHINES_PER_RETRY = 2;

    private final ClusterState clusterState;
    private final CapacityRefusals capacityRefusals;
    private final BootTimeEstimator bootTimeEstimator;

    InstanceRequestPlanner(
            ClusterState clusterState, CapacityRefusals capacityRefusals, BootTimeEstimator bootTimeEstimator) {
        this.clusterState = clusterState;
        this.capacityRefusals = capacityRefusals;
        this.bootTimeEstimator = bootTimeEstimator;
    }

    /**
     * Returns the requests to make, in order. {@code zoneDemand} is the demand of the jobs that may run in one zone
     * only; it is planned first.
     */
    List<PlannedRequest> plan(
            Instant now,
            InstanceCounts wanted,
            InstanceCounts present,
            Object2DoubleOpenHashMap<InstanceOffer> zoneDemand) {
        List<PlannedRequest> planned = new ArrayList<>();
        InstanceCounts missing = new InstanceCounts();
        wanted.kinds().forEach(kind -> missing.add(kind, wanted.get(kind) - present.get(kind)));
        planZoneBoundDemand(zoneDemand, missing, planned);
        List<InstanceKind> kinds = new ArrayList<>(wanted.kinds());
        kinds.sort(Comparator.comparing(InstanceKind::spot).reversed().thenComparing(InstanceKind::type));
        for (InstanceKind kind : kinds) {
            planForKind(kind, missing.get(kind), now, planned);
        }
        return planned;
    }

    /** Plans requests for the demand that can only be met in certain zones. */
    private void planZoneBoundDemand(
            Object2DoubleOpenHashMap<InstanceOffer> zoneDemand, InstanceCounts missing, List<PlannedRequest> planned) {
        if (zoneDemand.isEmpty()) {
            return;
        }
        Map<InstanceOffer, Integer> present = presentByOffer();
        List<InstanceOffer> offers = new ArrayList<>(zoneDemand.keySet());
        offers.sort(Comparator.comparing(InstanceOffer::zone)
                .thenComparing(offer -> offer.kind().type())
                .thenComparing(offer -> offer.kind().spot()));
        for (InstanceOffer offer : offers) {
            int needed = FleetSizeTarget.wholeMachines(zoneDemand.getDouble(offer));
            int count = Math.min(needed - present.getOrDefault(offer, 0), maxRequestSize(offer));
            if (count > 0 && mayRequestMore(planned)) {
                planned.add(new PlannedRequest(offer, count));
                missing.add(offer.kind(), -count);
            }
        }
    }

    /** Returns the number of machines that are up, booting or requested, by offer. */
    private Map<InstanceOffer, Integer> presentByOffer() {
        Map<InstanceOffer, Integer> present = new HashMap<>();
        for (MachineRecord machine : clusterState.machines()) {
            boolean isPresent = machine.condition() == Condition.UP || machine.condition() == Condition.BOOTING;
            if (isPresent) {
                present.merge(InstanceOffer.of(machine), 1, Integer::sum);
            }
        }
        for (InstanceRequest request : clusterState.instanceRequests()) {
            present.merge(InstanceOffer.of(request), request.count(), Integer::sum);
        }
        return present;
    }

    /**
     * Plans requests for one kind, preferring the zones with the fewest machines. Large numbers are spread over zones.
     */
    private void planForKind(InstanceKind kind, int missing, Instant now, List<PlannedRequest> planned) {
        if (missing <= 0) {
            return;
        }
        int remaining = missing;
        List<String> zones = zonesByPreference(kind, now);
        for (int i = 0; i < zones.size() && remaining > 0 && mayRequestMore(planned); i++) {
            int remainingZones = zones.size() - i;
            int evenShare = (remaining + remainingZones - 1) / remainingZones;
            InstanceOffer offer = new InstanceOffer(kind, zones.get(i));
            int count =
                    Math.min(maxRequestSize(offer), remaining <= MAX_MACHINES_PER_REQUEST / 2 ? remaining : evenShare);
            if (count > 0) {
                planned.add(new PlannedRequest(offer, count));
                remaining -= count;
            }
        }
    }

    /**
     * Returns the zones that have not recently refused the kind, in order of preference: first those where the kind
     * does not fail to boot, then by ascending number of machines of the type.
     */
    private List<String> zonesByPreference(InstanceKind kind, Instant now) {
        Map<String, Integer> machinesByZone = new HashMap<>();
        for (MachineRecord machine : clusterState.machines()) {
            if (machine.type().equals(kind.type())) {
                machinesByZone.merge(machine.zone(), 1, Integer::sum);
            }
        }
        List<String> zones =
                new ArrayList<>(clusterState.types().get(kind.type()).zones());
        zones.removeIf(zone -> capacityRefusals.wasRecentlyRefused(new InstanceOffer(kind, zone), now));
        zones.sort(
                Comparator.comparing((String zone) -> bootTimeEstimator.isFailingToBoot(new InstanceOffer(kind, zone)))
                        .thenComparing(zone -> machinesByZone.getOrDefault(zone, 0))
                        .thenComparing(zone -> zone));
        return zones;
    }

    /**
     * Returns the maximum number of machines in the next request for an offer. If the offer fails to boot, the number
     * is small, and zero until the retry interval has passed and no request for the offer is open.
     */
    private int maxRequestSize(InstanceOffer offer) {
        if (!bootTimeEstimator.isFailingToBoot(offer)) {
            return MAX_MACHINES_PER_REQUEST;
        }
        boolean hasOpenRequest = clusterState.instanceRequests().stream()
                .anyMatch(request -> InstanceOffer.of(request).equals(offer));
        return !hasOpenRequest && bootTimeEstimator.isRetryDue(offer) ? MAX_MACHINES_PER_RETRY : 0;
    }

    private boolean mayRequestMore(List<PlannedRequest> planned) {
        return clusterState.instanceRequests().size() + planned.size() < MAX_OPEN_REQUESTS;
    }
}
