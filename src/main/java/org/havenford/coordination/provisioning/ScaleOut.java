package org.havenford.coordination.provisioning;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.havenford.protocol.CloudMessages;
import org.havenford.protocol.Json;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.InstanceRequest;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineBatch;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents machines. The intent is stored before the cloud is asked, under a name that the cloud takes once: so a successor
 * asks again without renting twice.
 */
final class ScaleOut {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);
    /** The cloud's limit of machines in one call. */
    private static final int MOST_RENTED = 50;

    private static final int MOST_BOOKINGS = 3;
    private static final Duration RETRY = Duration.ofSeconds(1);
    /** Machines that an offer whose machines don't come up is tried with. */
    private static final int TRIED_WITH = 2;

    private final ProvisioningContext context;
    private final CapacityRefusals capacityRefusals;
    private final BootTimeEstimator bootTimeEstimator;
    /** Bookings that the cloud has been asked for, or whose outcome is being written. */
    private final Set<String> inFlight = new HashSet<>();

    private boolean writing;

    ScaleOut(ProvisioningContext context, CapacityRefusals capacityRefusals, BootTimeEstimator bootTimeEstimator) {
        this.bootTimeEstimator = bootTimeEstimator;
        this.context = context;
        this.capacityRefusals = capacityRefusals;
    }

    /** Begins afresh: this controller has become the provisioner. */
    void reset() {
        inFlight.clear();
        writing = false;
    }

    // ---- intents

    /** Stores intents for what is missing. {@code bound} is what must be in a certain zone. */
    void requestInstances(
            Instant now, InstanceCounts wanted, InstanceCounts have, Object2DoubleOpenHashMap<InstanceOffer> bound) {
        Transaction transaction = new Transaction();
        InstanceCounts missing = new InstanceCounts();
        wanted.kinds().forEach(kind -> missing.add(kind, wanted.get(kind) - have.get(kind)));
        requestForZones(bound, missing, transaction);
        List<InstanceKind> kinds = new ArrayList<>(wanted.kinds());
        kinds.sort(Comparator.comparing(InstanceKind::spot).reversed().thenComparing(InstanceKind::type));
        for (InstanceKind kind : kinds) {
            requestAnywhere(kind, missing.get(kind), now, transaction);
        }
        if (transaction.operationCount() > 0 && !writing) {
            writing = true;
            context.write(transaction, ok -> writing = false);
        }
    }

    /** First what can't be met elsewhere. */
    private void requestForZones(
            Object2DoubleOpenHashMap<InstanceOffer> bound, InstanceCounts missing, Transaction transaction) {
        if (bound.isEmpty()) {
            return;
        }
        Map<InstanceOffer, Integer> there = byOffer();
        List<InstanceOffer> offers = new ArrayList<>(bound.keySet());
        offers.sort(Comparator.comparing(InstanceOffer::zone)
                .thenComparing(offer -> offer.kind().type())
                .thenComparing(offer -> offer.kind().spot()));
        for (InstanceOffer offer : offers) {
            int lacking = FleetSizeTarget.wholeMachines(bound.getDouble(offer)) - there.getOrDefault(offer, 0);
            int count = Math.min(lacking, mostOf(offer));
            if (count > 0 && mayBook(transaction)) {
                requestInstances(offer, count, transaction);
                missing.add(offer.kind(), -count);
            }
        }
    }

    /** Machines there are or were asked for, by kind and zone. */
    private Map<InstanceOffer, Integer> byOffer() {
        Map<InstanceOffer, Integer> there = new HashMap<>();
        for (MachineRecord machine : context.clusterState().machines()) {
            boolean stays = machine.condition() == Condition.UP || machine.condition() == Condition.BOOTING;
            if (stays) {
                there.merge(InstanceOffer.of(machine), 1, Integer::sum);
            }
        }
        for (InstanceRequest booking : context.clusterState().instanceRequests()) {
            there.merge(InstanceOffer.of(booking), booking.count(), Integer::sum);
        }
        return there;
    }

    /** In the zones that have the fewest machines; a need that is large is spread over the zones. */
    private void requestAnywhere(InstanceKind kind, int number, Instant now, Transaction transaction) {
        int missing = number;
        if (missing <= 0) {
            return;
        }
        List<String> zones = zonesByMachines(kind, now);
        for (int i = 0; i < zones.size() && missing > 0 && mayBook(transaction); i++) {
            int zonesLeft = zones.size() - i;
            int even = (missing + zonesLeft - 1) / zonesLeft;
            InstanceOffer offer = new InstanceOffer(kind, zones.get(i));
            int count = Math.min(mostOf(offer), missing <= MOST_RENTED / 2 ? missing : even);
            if (count > 0) {
                requestInstances(offer, count, transaction);
                missing -= count;
            }
        }
    }

    private List<String> zonesByMachines(InstanceKind kind, Instant now) {
        Map<String, Integer> inZone = new HashMap<>();
        for (MachineRecord machine : context.clusterState().machines()) {
            if (machine.type().equals(kind.type())) {
                inZone.merge(machine.zone(), 1, Integer::sum);
            }
        }
        List<String> zones =
                new ArrayList<>(context.clusterState().types().get(kind.type()).zones());
        zones.removeIf(zone -> capacityRefusals.wasRefusedLately(new InstanceOffer(kind, zone), now));
        zones.sort(Comparator.comparing((String zone) -> bootTimeEstimator.isTroubled(new InstanceOffer(kind, zone)))
                .thenComparing(zone -> inZone.getOrDefault(zone, 0))
                .thenComparing(zone -> zone));
        return zones;
    }

    /** Machines of an offer that may be rented at once: few, and now and then, where they don't come up. */
    private int mostOf(InstanceOffer offer) {
        if (!bootTimeEstimator.isTroubled(offer)) {
            return MOST_RENTED;
        }
        boolean isBooked = context.clusterState().instanceRequests().stream()
                .anyMatch(booking -> InstanceOffer.of(booking).equals(offer));
        return !isBooked && bootTimeEstimator.mayBeTried(offer) ? TRIED_WITH : 0;
    }

    private boolean mayBook(Transaction transaction) {
        return context.clusterState().instanceRequests().size() + transaction.operationCount() < MOST_BOOKINGS;
    }

    private void requestInstances(InstanceOffer offer, int count, Transaction transaction) {
        String name = context.uniqueName("r");
        InstanceRequest booking = new InstanceRequest(
                name,
                offer.kind().type(),
                offer.zone(),
                offer.kind().spot(),
                count,
                context.loop().timeOfDay());
        transaction.requireRevision(Keys.instanceRequest(name), 0).put(Keys.instanceRequest(name), booking.toJson());
    }

    // ---- rentals

    /** Asks the cloud for what is booked. */
    void sendRequests() {
        for (InstanceRequest booking : List.copyOf(context.clusterState().instanceRequests())) {
            if (inFlight.contains(booking.name())) {
                continue;
            }
            String body =
                    CloudMessages.rent(booking.name(), booking.type(), booking.zone(), booking.spot(), booking.count());
            if (context.cloud().call("POST", "/machines", body, reply -> answered(booking, reply))) {
                inFlight.add(booking.name());
            }
        }
    }

    private void answered(InstanceRequest booking, HttpCalls.Reply reply) {
        if (reply.ok()) {
            try {
                rented(booking, CloudMessages.rented(reply.body()));
                return;
            } catch (Json.BadMessage e) {
                LOG.warn("cloud: the answer to a rental can't be read: {}", e.getMessage());
            }
        } else if (reply.status() == 503 || reply.status() == 400) {
            capacityRefusals.refused(InstanceOffer.of(booking), context.loop().now());
            settle(booking, withoutBooking(booking));
            return;
        }
        context.loop().after(RETRY, () -> inFlight.remove(booking.name()));
    }

    private void rented(InstanceRequest booking, List<String> names) {
        LOG.info(
                "rented {} of {} {} in {}{}",
                names.size(),
                booking.count(),
                booking.type(),
                booking.zone(),
                booking.spot() ? ", spot" : "");
        if (names.size() < booking.count()) {
            capacityRefusals.refused(InstanceOffer.of(booking), context.loop().now());
        }
        record(booking, names);
    }

    /** The batch takes the booking's place in one transaction. */
    private void record(InstanceRequest booking, List<String> names) {
        Transaction transaction = withoutBooking(booking);
        List<String> fresh = names.stream()
                .filter(name -> context.clusterState().machine(name) == null)
                .toList();
        if (!fresh.isEmpty()) {
            Instant now = context.loop().timeOfDay();
            MachineBatch batch =
                    MachineBatch.of(booking.name(), booking.type(), booking.zone(), booking.spot(), now, fresh);
            transaction.requireRevision(Keys.batch(booking.name()), 0).put(Keys.batch(booking.name()), batch.toJson());
        }
        settle(booking, transaction);
    }

    private Transaction withoutBooking(InstanceRequest booking) {
        String key = Keys.instanceRequest(booking.name());
        return new Transaction()
                .requireRevision(key, context.replica().modRevision(key))
                .delete(key);
    }

    private void settle(InstanceRequest booking, Transaction transaction) {
        context.write(transaction, ok -> inFlight.remove(booking.name()));
    }
}
