package org.havenford.coordination.provisioning;

import com.google.gson.JsonObject;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.havenford.protocol.CloudMessages;
import org.havenford.protocol.CloudMessages.ListedMachine;
import org.havenford.protocol.Json;
import org.havenford.protocol.MachineType;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineBatch;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the cloud says: the machine types that it offers, and the list of machines that it rents to us. The list lags, so it
 * never proves that a machine is gone.
 */
final class CloudInventory {
    private static final Logger LOG = LoggerFactory.getLogger(CloudInventory.class);
    private static final Duration TYPES_EVERY = Duration.ofSeconds(45);
    private static final Duration TYPES_RETRY = Duration.ofSeconds(1);
    private static final Duration TYPES_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration LIST_EVERY = Duration.ofSeconds(3);
    private static final int PAGE = 500;
    private static final Duration PAGE_RETRY = Duration.ofMillis(100);
    /** A listed machine without a record is adopted once it is older than the answer to any rental may be late. */
    private static final Duration ADOPTED_FROM = Duration.ofSeconds(10);
    /** How long what was seen of a machine in the list is remembered. */
    private static final Duration REMEMBERED = Duration.ofMinutes(10);

    private final ProvisioningContext context;
    private final Map<String, Instant> lastListed = new HashMap<>();
    /** Machines whose return the cloud has confirmed, and when. */
    private final Map<String, Instant> returned = new HashMap<>();

    private final Set<String> failed = new HashSet<>();
    private Instant nextTypes = Instant.MIN;
    private Instant nextList = Instant.MIN;
    private Instant lastFullList = Instant.MIN;
    private boolean listing;
    private String storedTypes = "";

    CloudInventory(ProvisioningContext context) {
        this.context = context;
    }

    /** Forgets what was listed before this controller became the provisioner. */
    void reset() {
        lastListed.clear();
        lastFullList = Instant.MIN;
    }

    /** Asks for the types and for the list when they are due. */
    void step(Instant now) {
        askTypes(now);
        askList(now);
    }

    /** Whether the cloud lists a machine as failed. */
    boolean failed(String machine) {
        return failed.contains(machine);
    }

    /** The cloud has confirmed that machines were returned. */
    void returned(List<String> machines) {
        machines.forEach(machine -> returned.put(machine, context.loop().now()));
    }

    /**
     * Whether a machine that has been silent since a moment is no longer listed. Once listed, a machine stays listed until it
     * is gone. The list may lag by twice its usual lag, and it is no proof: the return that follows is.
     */
    boolean noLongerListed(String machine, Instant silentFrom) {
        Instant seen = lastListed.get(machine);
        Instant settled = silentFrom.plus(context.settings().listLag().multipliedBy(2));
        return seen != null && seen.isBefore(settled) && lastFullList.isAfter(settled) && !lastFullList.equals(seen);
    }

    private void askTypes(Instant now) {
        if (now.isBefore(nextTypes)) {
            return;
        }
        if (context.cloud().call("GET", "/machine_types", null, this::typesAnswered)) {
            nextTypes = now.plus(TYPES_TIMEOUT);
        }
    }

    private void typesAnswered(HttpCalls.Reply reply) {
        boolean unknown = context.clusterState().types().isEmpty();
        nextTypes = context.loop().now().plus(unknown ? TYPES_RETRY : TYPES_EVERY);
        if (!reply.ok()) {
            return;
        }
        try {
            JsonObject value = MachineType.toJson(MachineType.parseAll(Json.object(reply.body())));
            String text = value.toString();
            if (!text.equals(storedTypes)) {
                context.write(new Transaction().put(Keys.TYPES, value), ok -> {
                    // Written under a view that has just changed, they are not there: then they come again.
                    storedTypes = ok ? text : storedTypes;
                    nextTypes = ok ? nextTypes : Instant.MIN;
                });
            }
        } catch (Json.BadMessage e) {
            LOG.warn("cloud: the machine types can't be read: {}", e.getMessage());
        }
    }

    private void askList(Instant now) {
        if (listing || now.isBefore(nextList)) {
            return;
        }
        listing = true;
        nextList = now.plus(LIST_EVERY);
        askPage(now, "", new HashMap<>());
    }

    private void askPage(Instant asked, String after, Map<String, ListedMachine> all) {
        String path = "/machines?limit=" + PAGE + (after.isEmpty() ? "" : "&since=" + after);
        if (!context.cloud().call("GET", path, null, reply -> pageAnswered(asked, after, all, reply))) {
            // A long list takes more calls than may go out at once. Given up, it would never be read to its end.
            context.loop().after(PAGE_RETRY, () -> askPage(asked, after, all));
        }
    }

    private void pageAnswered(Instant asked, String after, Map<String, ListedMachine> all, HttpCalls.Reply reply) {
        if (!reply.ok()) {
            listing = false;
            return;
        }
        try {
            CloudMessages.Page page = CloudMessages.page(reply.body());
            String last = after;
            for (ListedMachine machine : page.machines()) {
                all.put(machine.machine(), machine);
                last = machine.machine();
            }
            if (page.more() && !last.equals(after)) {
                askPage(asked, last, all);
            } else {
                listing = false;
                listed(asked, all);
            }
        } catch (Json.BadMessage e) {
            listing = false;
            LOG.warn("cloud: the machine list can't be read: {}", e.getMessage());
        }
    }

    private void listed(Instant asked, Map<String, ListedMachine> all) {
        lastFullList = asked;
        failed.clear();
        for (ListedMachine machine : all.values()) {
            lastListed.put(machine.machine(), asked);
            if (machine.status() == CloudMessages.Status.FAILED) {
                failed.add(machine.machine());
            }
        }
        adopt(all);
        Instant forgotten = asked.minus(REMEMBERED);
        lastListed.values().removeIf(at -> at.isBefore(forgotten));
        returned.values().removeIf(at -> at.isBefore(forgotten));
    }

    /** Machines that nobody has a record of: of a rental that was carried out late, or whose answer was lost. */
    private void adopt(Map<String, ListedMachine> all) {
        if (!context.clusterState().instanceRequests().isEmpty()) {
            return;
        }
        Map<InstanceOffer, List<ListedMachine>> unknown = new LinkedHashMap<>();
        for (ListedMachine machine : all.values()) {
            boolean known = context.clusterState().machine(machine.machine()) != null
                    || returned.containsKey(machine.machine())
                    || machine.age().compareTo(ADOPTED_FROM) <= 0;
            if (!known) {
                LOG.info("adopting {}, which the cloud lists and is in no record", machine.machine());
                InstanceOffer offer =
                        new InstanceOffer(new InstanceKind(machine.type(), machine.spot()), machine.zone());
                unknown.computeIfAbsent(offer, k -> new ArrayList<>()).add(machine);
            }
        }
        Transaction transaction = new Transaction();
        unknown.forEach((offer, machines) -> {
            if (transaction.operationCount() < context.settings().txnOps()) {
                adopt(offer, machines, transaction);
            }
        });
        if (transaction.operationCount() > 0) {
            context.write(transaction, ok -> {});
        }
    }

    private void adopt(InstanceOffer offer, List<ListedMachine> machines, Transaction transaction) {
        String name = context.uniqueName("l");
        Instant since = context.loop().timeOfDay().minus(machines.get(0).age());
        List<String> names = machines.stream()
                .limit(MachineBatch.MAX_MACHINES)
                .map(ListedMachine::machine)
                .toList();
        MachineBatch batch = MachineBatch.of(
                name, offer.kind().type(), offer.zone(), offer.kind().spot(), since, names);
        transaction.requireRevision(Keys.batch(name), 0).put(Keys.batch(name), batch.toJson());
    }
}
