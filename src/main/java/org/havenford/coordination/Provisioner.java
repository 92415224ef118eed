package org.havenford.coordination;

import com.google.gson.JsonObject;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.havenford.bookkeeping.Keys;
import org.havenford.bookkeeping.Ledger;
import org.havenford.bookkeeping.Ledger.Booking;
import org.havenford.bookkeeping.MachineBatch;
import org.havenford.bookkeeping.MachineRecord;
import org.havenford.bookkeeping.MachineRecord.Condition;
import org.havenford.bookkeeping.Replica;
import org.havenford.bookkeeping.StateStore;
import org.havenford.bookkeeping.TokenBucket;
import org.havenford.coordination.Demand.Kind;
import org.havenford.coordination.Demand.Offer;
import org.havenford.coordination.Demand.TaskDemand;
import org.havenford.protocol.CloudMessages;
import org.havenford.protocol.CloudMessages.Listed;
import org.havenford.protocol.Json;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.Settings;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents and returns machines; active on the view's first member alone. All that must survive it is in the store: an
 * intent before each rental, and the condition RETURNING before each return.
 */
public final class Provisioner {
    private static final Logger LOG = LoggerFactory.getLogger(Provisioner.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(4);
    private static final Duration AVERAGE_OVER = Duration.ofSeconds(90);
    private static final Duration SUSTAINED_OVER = Duration.ofSeconds(8);
    private static final Duration SETTLING = Duration.ofSeconds(20);
    private static final Duration SIZE_EVERY = Duration.ofMillis(500);
    /** Machines that go are gathered, since each change of a batch fails the claims under way on its other machines. */
    private static final Duration TRIM_EVERY = Duration.ofSeconds(2);

    private static final Duration DROP_EVERY = Duration.ofSeconds(1);
    /** The cloud's limits of machines in one call. */
    private static final int MOST_RENTED = 50;

    private static final int MOST_RETURNED = 100;
    private static final int MOST_BOOKINGS = 3;
    /** So small a part of a machine is not rented for. */
    private static final double SPARE_PART = 0.05;
    /** How many times as long machines of a zone that is silent as a whole are waited for: a cut takes about a minute. */
    private static final int ZONE_PATIENCE = 3;
    /**
     * Times as long that machines stay idle where speed comes first: long enough for the next burst. Not for ever, since a
     * thousand machines without work still report, and cost most of the processor time of a quiet hour.
     */
    private static final int IDLE_FOR_SPEED = 6;

    private static final Duration REFUSAL_HOLDS = Duration.ofSeconds(90);

    private final EventLoop loop;
    private final HttpCalls calls;
    private final Settings settings;
    private final Operator operator;
    private final Ledger ledger;
    private final Replica replica;
    private final StateStore store;
    private final Membership membership;
    private final Runnable wake;
    private final TokenBucket budget;

    private final Set<String> inFlight = new HashSet<>();
    private final Map<String, Instant> refused = new HashMap<>();
    private final Map<String, Instant> idleSince = new HashMap<>();
    private final Map<String, Instant> returned = new HashMap<>();
    private final Map<String, Instant> lastListed = new HashMap<>();
    private final Set<String> failed = new HashSet<>();
    /** Batches that are being written. */
    private final Set<String> busyBatches = new HashSet<>();
    /** Machines whose return the cloud has confirmed, and that are still on record. */
    private final Set<String> goneNow = new LinkedHashSet<>();

    private final Object2DoubleOpenHashMap<Kind> average = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<Kind> sustained = new Object2DoubleOpenHashMap<>();
    private final boolean speedFirst;
    private Instant averagedAt;
    private Instant nextTypes = Instant.MIN;
    private Instant nextList = Instant.MIN;
    private Instant nextTrim = Instant.MIN;
    private Instant nextDrop = Instant.MIN;
    private Instant nextSize = Instant.MIN;
    private Instant lastFullList = Instant.MIN;
    private boolean listing;
    private boolean renting;
    private String typesText = "";
    private long counter;
    private boolean active;
    private Instant activeSince = Instant.MIN;

    /** A provisioner that acts once this member is the first of the view. */
    public Provisioner(
            EventLoop loop,
            HttpCalls calls,
            Settings settings,
            Operator operator,
            Ledger ledger,
            Replica replica,
            StateStore store,
            Membership membership,
            Runnable wake) {
        this.loop = loop;
        this.calls = calls;
        this.settings = settings;
        this.operator = operator;
        this.ledger = ledger;
        this.replica = replica;
        this.store = store;
        this.membership = membership;
        this.wake = wake;
        this.speedFirst = operator.speedFirst(settings);
        this.budget = new TokenBucket(settings.cloudRps() * 0.8, 1, loop.now());
    }

    /** Compares the demand with the fleet, and rents or returns machines. */
    public void step() {
        boolean first = replica.loaded()
                && membership.entitled()
                && settings.node().equals(membership.view().first());
        if (!first) {
            active = false;
            return;
        }
        Instant now = loop.now();
        if (!active) {
            active = true;
            activeSince = now;
            inFlight.clear();
            busyBatches.clear();
            goneNow.clear();
            idleSince.clear();
            lastListed.clear();
            lastFullList = Instant.MIN;
            renting = false;
            averagedAt = null;
            nextSize = Instant.MIN;
            nextTrim = Instant.MIN;
            nextDrop = Instant.MIN;
            // Its predecessor knew since when machines have been idle; half the time is a fair guess.
            for (MachineRecord r : ledger.machines()) {
                if (r.condition() == Condition.UP && ledger.claimsOn(r.name()).isEmpty()) {
                    idleSince.put(
                            r.name(), now.minus(operator.idleBeforeReturn().dividedBy(2)));
                }
            }
        }
        types(now);
        list(now);
        giveBack();
        bookings();
        if (!now.isBefore(nextSize) && !ledger.types().isEmpty()) {
            nextSize = now.plus(SIZE_EVERY);
            judge(now);
            size(now);
        }
    }

    private boolean call(String method, String path, String body, Consumer<HttpCalls.Reply> done) {
        if (!budget.has(1, loop.now())) {
            return false;
        }
        budget.take(1);
        calls.call(settings.cloudAddress(), method, path, body, TIMEOUT, done);
        return true;
    }

    /** {@code after} is told whether it was written. */
    private void write(StateStore.Txn txn, Consumer<Boolean> after) {
        txn.guard(Keys.VIEW, membership.viewStamp());
        store.commit(txn, StateStore.Urgency.WORK, r -> {
            if (r.ok()) {
                replica.committed(txn, r.edition());
            }
            after.accept(r.ok());
            wake.run();
        });
    }

    // ---- what the cloud says

    private void types(Instant now) {
        if (now.isBefore(nextTypes)) {
            return;
        }
        if (call("GET", "/machine_types", null, reply -> {
            nextTypes = loop.now().plusSeconds(ledger.types().isEmpty() ? 1 : 45);
            if (!reply.ok()) {
                return;
            }
            try {
                JsonObject value = MachineType.toJson(MachineType.parseAll(Json.object(reply.body())));
                if (!value.toString().equals(typesText)) {
                    String text = value.toString();
                    write(new StateStore.Txn().set(Keys.TYPES, value), ok -> {
                        // Written under a view that has just changed, they are not there: then they come again.
                        typesText = ok ? text : typesText;
                        nextTypes = ok ? nextTypes : Instant.MIN;
                    });
                }
            } catch (Json.BadMessage e) {
                LOG.warn("cloud: the machine types can't be read: {}", e.getMessage());
            }
        })) {
            nextTypes = now.plusSeconds(5);
        }
    }

    private void list(Instant now) {
        if (listing || now.isBefore(nextList)) {
            return;
        }
        listing = true;
        nextList = now.plusSeconds(3);
        page(now, "", new HashMap<>());
    }

    private void page(Instant asked, String after, Map<String, Listed> all) {
        String path = "/machines?limit=500" + (after.isEmpty() ? "" : "&since=" + after);
        if (!call("GET", path, null, reply -> {
            if (!reply.ok()) {
                listing = false;
                return;
            }
            try {
                CloudMessages.Page p = CloudMessages.page(reply.body());
                String last = after;
                for (Listed m : p.machines()) {
                    all.put(m.machine(), m);
                    last = m.machine();
                }
                if (p.more() && !last.equals(after)) {
                    page(asked, last, all);
                } else {
                    listing = false;
                    listed(asked, all);
                }
            } catch (Json.BadMessage e) {
                listing = false;
                LOG.warn("cloud: the machine list can't be read: {}", e.getMessage());
            }
        })) {
            listing = false;
        }
    }

    private void listed(Instant asked, Map<String, Listed> all) {
        lastFullList = asked;
        all.keySet().forEach(name -> lastListed.put(name, asked));
        failed.clear();
        Map<String, List<Listed>> unknown = new TreeMap<>();
        for (Listed m : all.values()) {
            if (m.status() == CloudMessages.Status.FAILED) {
                failed.add(m.machine());
            }
            // A machine that nobody has a record of: a rental that was carried out late, or whose answer was lost.
            if (ledger.machine(m.machine()) == null
                    && !returned.containsKey(m.machine())
                    && ledger.bookings().isEmpty()
                    && m.age().compareTo(Duration.ofSeconds(10)) > 0) {
                LOG.info("adopting {}, which the cloud lists and is in no record", m.machine());
                unknown.computeIfAbsent(offer(m.type(), m.zone(), m.spot()), k -> new ArrayList<>())
                        .add(m);
            }
        }
        StateStore.Txn adopt = new StateStore.Txn();
        for (List<Listed> alike : unknown.values()) {
            if (adopt.writes() < settings.txnOps()) {
                Listed one = alike.get(0);
                String name = unique("l");
                adopt.guard(Keys.batch(name), 0)
                        .set(
                                Keys.batch(name),
                                MachineBatch.of(
                                                name,
                                                one.type(),
                                                one.zone(),
                                                one.spot(),
                                                loop.timeOfDay().minus(one.age()),
                                                alike.stream()
                                                        .limit(MachineBatch.MOST)
                                                        .map(Listed::machine)
                                                        .toList())
                                        .toJson());
            }
        }
        if (adopt.writes() > 0) {
            write(adopt, ok -> {});
        }
        lastListed.values().removeIf(at -> at.isBefore(asked.minusSeconds(600)));
        returned.values().removeIf(at -> at.isBefore(asked.minusSeconds(600)));
    }

    // ---- machines that should go

    private Duration age(MachineRecord r) {
        return Duration.between(r.since(), loop.timeOfDay());
    }

    /** Zones of which at least half is silent: it is the zone that can't be reached, and its machines will be back together. */
    private Set<String> silentZones() {
        Map<String, Integer> silent = new HashMap<>();
        Map<String, Integer> all = new HashMap<>();
        for (MachineRecord r : ledger.machines()) {
            if (r.condition() == Condition.SILENT) {
                silent.merge(r.zone(), 1, Integer::sum);
            }
            if (r.condition() != Condition.BOOTING) {
                all.merge(r.zone(), 1, Integer::sum);
            }
        }
        silent.entrySet().removeIf(e -> e.getValue() * 2 < all.get(e.getKey()));
        return silent.keySet();
    }

    private void judge(Instant now) {
        Set<String> silentZones = silentZones();
        Change change = new Change();
        for (MachineRecord r : ledger.machines()) {
            String why = inFlight.contains(r.name()) ? null : unfit(r, silentZones, now);
            if (why != null && change.mark(r.name(), MachineBatch.Service.RETURNING)) {
                LOG.info("returning {}: {}", r.name(), why);
            }
        }
        change.write();
    }

    /** Changes of the batches that machines are in, gathered into one transaction. */
    private final class Change {
        private final TreeMap<String, MachineBatch> next = new TreeMap<>();
        private final List<String> machines = new ArrayList<>();

        /** Whether there is room for the machine's batches, and none of them is being written. */
        private boolean takes(String machine) {
            Set<String> of = ledger.batchesOf(machine);
            long more = of.stream().filter(b -> !next.containsKey(b)).count();
            return !of.isEmpty()
                    && of.stream().noneMatch(busyBatches::contains)
                    && next.size() + more <= settings.txnOps();
        }

        boolean mark(String machine, MachineBatch.Service service) {
            if (!takes(machine)) {
                return false;
            }
            for (String b : ledger.batchesOf(machine)) {
                next.put(b, next.getOrDefault(b, ledger.batch(b)).with(machine, service));
            }
            machines.add(machine);
            return true;
        }

        boolean drop(String machine) {
            if (!takes(machine)) {
                return false;
            }
            for (String b : ledger.batchesOf(machine)) {
                next.put(b, next.getOrDefault(b, ledger.batch(b)).without(List.of(machine)));
            }
            return true;
        }

        void write() {
            if (next.isEmpty()) {
                return;
            }
            StateStore.Txn txn = new StateStore.Txn();
            next.forEach((name, batch) -> {
                String key = Keys.batch(name);
                txn.guard(key, replica.stamp(key));
                if (batch.machines().isEmpty()) {
                    txn.delete(key);
                } else {
                    txn.set(key, batch.toJson());
                }
            });
            busyBatches.addAll(next.keySet());
            inFlight.addAll(machines);
            Provisioner.this.write(txn, ok -> {
                busyBatches.removeAll(next.keySet());
                inFlight.removeAll(machines);
            });
        }
    }

    private String unfit(MachineRecord r, Set<String> silentZones, Instant now) {
        if (failed.contains(r.name()) && r.condition() != Condition.RETURNING) {
            return "the cloud lists it as failed";
        }
        MachineType t = ledger.types().get(r.type());
        Duration boot = t == null ? Duration.ofSeconds(60) : t.boot();
        switch (r.condition()) {
            case BOOTING:
                // A new provisioner first lets the owners say what they hear.
                if (now.isBefore(activeSince.plus(SETTLING))
                        || !ledger.claimsOn(r.name()).isEmpty()) {
                    return null;
                }
                return age(r).compareTo(boot.multipliedBy(3).plusSeconds(20)) > 0 ? "it does not come up" : null;
            case FAULTY:
                return ledger.claimsOn(r.name()).isEmpty() ? "its owner found it faulty" : null;
            case SILENT:
                Duration patience =
                        operator.silentBeforeReturn().multipliedBy(silentZones.contains(r.zone()) ? ZONE_PATIENCE : 1);
                if (age(r).compareTo(settings.workerLease().plus(patience)) > 0) {
                    return "it has been silent for too long";
                }
                // Once listed, a machine stays listed until it is gone. The list may lag by twice its usual lag, and
                // it is no proof: the return that follows is.
                Instant silentFrom = now.minus(age(r));
                Instant seen = lastListed.get(r.name());
                boolean missing = seen != null
                        && seen.isBefore(silentFrom.plus(settings.listLag().multipliedBy(2)))
                        && lastFullList.isAfter(
                                silentFrom.plus(settings.listLag().multipliedBy(2)));
                return missing && !lastFullList.equals(seen) ? "it is silent and no longer listed" : null;
            default:
                return null;
        }
    }

    private void giveBack() {
        List<MachineRecord> batch = new ArrayList<>();
        Change back = new Change();
        for (MachineRecord r : ledger.machines()) {
            if (inFlight.contains(r.name()) || goneNow.contains(r.name())) {
                continue;
            }
            boolean idle = r.condition() == Condition.RETIRING
                    && ledger.batchesOf(r.name()).stream()
                            .allMatch(b -> replica.edition() >= replica.stamp(Keys.batch(b)));
            if ((r.condition() == Condition.RETURNING
                            || idle && ledger.claimsOn(r.name()).isEmpty())
                    && batch.size() < MOST_RETURNED) {
                batch.add(r);
            } else if (idle && !ledger.claimsOn(r.name()).isEmpty()) {
                // A claim does not change the record, so one may have come first without our knowing.
                back.mark(r.name(), MachineBatch.Service.IN_SERVICE);
            }
        }
        back.write();
        dropGone();
        if (batch.isEmpty()) {
            return;
        }
        List<String> names = batch.stream().map(MachineRecord::name).toList();
        if (call("POST", "/machines/return", CloudMessages.giveBack(names), reply -> {
            if (!reply.ok()) {
                loop.after(Duration.ofSeconds(1), () -> inFlight.removeAll(names));
                return;
            }
            inFlight.removeAll(names);
            names.forEach(n -> returned.put(n, loop.now()));
            // What went back can be had again.
            batch.forEach(r -> refused.remove(offer(r.type(), r.zone(), r.spot())));
            // By now the machines and all on them are gone. The records' absence tells the owners so.
            goneNow.addAll(names);
        })) {
            inFlight.addAll(names);
        }
    }

    private void dropGone() {
        goneNow.removeIf(n -> ledger.machine(n) == null);
        if (goneNow.isEmpty() || loop.now().isBefore(nextDrop)) {
            return;
        }
        nextDrop = loop.now().plus(DROP_EVERY);
        Change change = new Change();
        goneNow.forEach(change::drop);
        change.write();
    }

    // ---- rentals

    private void bookings() {
        for (Booking b : List.copyOf(ledger.bookings())) {
            if (inFlight.contains(b.name())) {
                continue;
            }
            if (call(
                    "POST",
                    "/machines",
                    CloudMessages.rent(b.name(), b.type(), b.zone(), b.spot(), b.count()),
                    reply -> booked(b, reply))) {
                inFlight.add(b.name());
            }
        }
    }

    /** A name that no other controller and no other life of this one gives. */
    private String unique(String prefix) {
        return prefix + "-" + membership.view().epoch() + "-"
                + membership.view().members().get(settings.node()) + "-" + ++counter;
    }

    private static String offer(String type, String zone, boolean spot) {
        return type + "|" + zone + "|" + spot;
    }

    private void booked(Booking b, HttpCalls.Reply reply) {
        String key = Keys.booking(b.name());
        StateStore.Txn txn = new StateStore.Txn().guard(key, replica.stamp(key)).delete(key);
        if (reply.ok()) {
            try {
                List<String> names = CloudMessages.rented(reply.body());
                LOG.info(
                        "rented {} of {} {} in {}{}",
                        names.size(),
                        b.count(),
                        b.type(),
                        b.zone(),
                        b.spot() ? ", spot" : "");
                if (names.size() < b.count()) {
                    refused.put(offer(b.type(), b.zone(), b.spot()), loop.now());
                }
                record(b, names);
                return;
            } catch (Json.BadMessage e) {
                LOG.warn("cloud: the answer to a rental can't be read: {}", e.getMessage());
            }
        } else if (reply.status() == 503 || reply.status() == 400) {
            refused.put(offer(b.type(), b.zone(), b.spot()), loop.now());
            write(txn, ok -> inFlight.remove(b.name()));
            return;
        }
        loop.after(Duration.ofSeconds(1), () -> inFlight.remove(b.name()));
    }

    /** The batch takes the booking's place in one transaction. */
    private void record(Booking b, List<String> names) {
        String key = Keys.booking(b.name());
        StateStore.Txn txn = new StateStore.Txn().guard(key, replica.stamp(key)).delete(key);
        List<String> fresh =
                names.stream().filter(n -> ledger.machine(n) == null).toList();
        if (!fresh.isEmpty()) {
            txn.guard(Keys.batch(b.name()), 0)
                    .set(
                            Keys.batch(b.name()),
                            MachineBatch.of(b.name(), b.type(), b.zone(), b.spot(), loop.timeOfDay(), fresh)
                                    .toJson());
        }
        write(txn, ok -> inFlight.remove(b.name()));
    }

    private boolean refusedLately(String offer, Instant now) {
        Instant at = refused.get(offer);
        return at != null && now.isBefore(at.plus(REFUSAL_HOLDS));
    }

    private boolean exhausted(Kind k, Instant now) {
        return ledger.types().get(k.type()).zones().stream()
                .allMatch(z -> refusedLately(offer(k.type(), z, k.spot()), now));
    }

    private void size(Instant now) {
        Map<Kind, Integer> have = new HashMap<>();
        for (MachineRecord r : ledger.machines()) {
            MachineType t = ledger.types().get(r.type());
            boolean counts =
                    switch (r.condition()) {
                        case UP, SILENT -> true;
                        case BOOTING -> t != null && age(r).compareTo(t.boot().multipliedBy(2)) < 0;
                        default -> false;
                    };
            if (counts) {
                have.merge(new Kind(r.type(), r.spot()), 1, Integer::sum);
            }
        }
        for (Booking b : ledger.bookings()) {
            have.merge(new Kind(b.type(), b.spot()), b.count(), Integer::sum);
        }
        // The average follows all that could run at once, so that the next burst finds room; the need of the moment is
        // counted with patience, so that a burst does not fill the fleet with machines that come up too late for it.
        List<TaskDemand> allDemands = Demand.taskDemands(ledger, settings, loop.timeOfDay(), false);
        List<TaskDemand> leastDemands = Demand.taskDemands(ledger, settings, loop.timeOfDay(), true);
        Object2DoubleOpenHashMap<Kind> full = machines(allDemands, now, have);
        Object2DoubleOpenHashMap<Kind> least = machines(leastDemands, now, have);
        double weight = averagedAt == null
                ? 1
                : Math.min(1, Duration.between(averagedAt, now).toMillis() / (double) AVERAGE_OVER.toMillis());
        double slow = averagedAt == null
                ? 0
                : Math.min(1, Duration.between(averagedAt, now).toMillis() / (double) SUSTAINED_OVER.toMillis());
        averagedAt = now;
        Map<Kind, Integer> wanted = new HashMap<>();
        for (MachineType t : ledger.types().values()) {
            for (boolean spot : new boolean[] {true, false}) {
                Kind k = new Kind(t.name(), spot);
                double need = (speedFirst ? full : least).getDouble(k);
                average.addTo(k, (full.getDouble(k) - average.getDouble(k)) * weight);
                if (exhausted(k, now)) {
                    // A wish that can't be met must not hold on to machines of another kind in its place.
                    average.put(k, Math.min(average.getDouble(k), have.getOrDefault(k, 0)));
                }
                sustained.addTo(k, (need - sustained.getDouble(k)) * slow);
                // Spot machines are kept for work that has not come yet. Ordinary ones cost three times as much: they
                // are rented for a need that lasts longer than they take to boot.
                double n = speedFirst || spot
                        ? Math.max(need, average.getDouble(k) * (1 + operator.spareShare()))
                        : sustained.getDouble(k);
                wanted.put(k, (int) Math.ceil(n - SPARE_PART));
            }
        }
        if (LOG.isDebugEnabled()) {
            Map<Kind, Integer> idle = new HashMap<>();
            for (MachineRecord r : ledger.machines()) {
                if (r.condition() == Condition.UP && ledger.claimsOn(r.name()).isEmpty()) {
                    idle.merge(new Kind(r.type(), r.spot()), 1, Integer::sum);
                }
            }
            LOG.debug("fleet: have {}, idle {}, wanted {}, needed {}, could use {}", have, idle, wanted, least, full);
        }
        rent(now, wanted, have, boundToZones(speedFirst ? allDemands : leastDemands, now));
        trim(now, wanted, have);
    }

    private Object2DoubleOpenHashMap<Kind> machines(List<TaskDemand> demands, Instant now, Map<Kind, Integer> have) {
        return Demand.machines(demands, ledger.types(), k -> exhausted(k, now), have);
    }

    private Object2DoubleOpenHashMap<Offer> boundToZones(List<TaskDemand> demands, Instant now) {
        return Demand.boundToZones(
                demands,
                ledger.types(),
                o -> refusedLately(offer(o.kind().type(), o.zone(), o.kind().spot()), now));
    }

    /** Machines there are or were asked for, by kind and zone. */
    private Map<Offer, Integer> byOffer() {
        Map<Offer, Integer> out = new HashMap<>();
        for (MachineRecord m : ledger.machines()) {
            boolean stays = m.condition() == Condition.UP || m.condition() == Condition.BOOTING;
            if (stays) {
                out.merge(new Offer(new Kind(m.type(), m.spot()), m.zone()), 1, Integer::sum);
            }
        }
        for (Booking b : ledger.bookings()) {
            out.merge(new Offer(new Kind(b.type(), b.spot()), b.zone()), b.count(), Integer::sum);
        }
        return out;
    }

    private void rent(
            Instant now, Map<Kind, Integer> wanted, Map<Kind, Integer> have, Object2DoubleOpenHashMap<Offer> bound) {
        StateStore.Txn txn = new StateStore.Txn();
        Map<Kind, Integer> missing = new HashMap<>();
        wanted.forEach((kind, number) -> missing.put(kind, number - have.getOrDefault(kind, 0)));
        bookForZones(bound, missing, txn);
        List<Kind> kinds = new ArrayList<>(wanted.keySet());
        kinds.sort(Comparator.comparing(Kind::spot).reversed().thenComparing(Kind::type));
        for (Kind kind : kinds) {
            bookAnywhere(kind, missing.get(kind), now, txn);
        }
        if (txn.writes() > 0 && !renting) {
            renting = true;
            write(txn, ok -> renting = false);
        }
    }

    /** First what can't be met elsewhere. */
    private void bookForZones(Object2DoubleOpenHashMap<Offer> bound, Map<Kind, Integer> missing, StateStore.Txn txn) {
        if (bound.isEmpty()) {
            return;
        }
        Map<Offer, Integer> there = byOffer();
        List<Offer> offers = new ArrayList<>(bound.keySet());
        offers.sort(Comparator.comparing(Offer::zone)
                .thenComparing(o -> o.kind().type())
                .thenComparing(o -> o.kind().spot()));
        for (Offer offer : offers) {
            int lacking = (int) Math.ceil(bound.getDouble(offer) - SPARE_PART) - there.getOrDefault(offer, 0);
            if (lacking > 0 && mayBook(txn)) {
                int count = Math.min(MOST_RENTED, lacking);
                book(offer.kind(), offer.zone(), count, txn);
                missing.merge(offer.kind(), -count, Integer::sum);
            }
        }
    }

    private void bookAnywhere(Kind kind, int number, Instant now, StateStore.Txn txn) {
        int missing = number;
        // The zone with the fewest machines first.
        Map<String, Integer> inZone = new HashMap<>();
        for (MachineRecord m : ledger.machines()) {
            if (m.type().equals(kind.type())) {
                inZone.merge(m.zone(), 1, Integer::sum);
            }
        }
        List<String> zones = new ArrayList<>(ledger.types().get(kind.type()).zones());
        zones.removeIf(z -> refusedLately(offer(kind.type(), z, kind.spot()), now));
        zones.sort(
                Comparator.comparingInt((String z) -> inZone.getOrDefault(z, 0)).thenComparing(z -> z));
        for (int i = 0; i < zones.size() && missing > 0 && mayBook(txn); i++) {
            // A need that is large is spread over the zones.
            int count = Math.min(
                    MOST_RENTED,
                    missing <= MOST_RENTED / 2 ? missing : (missing + zones.size() - i - 1) / (zones.size() - i));
            book(kind, zones.get(i), count, txn);
            missing -= count;
        }
    }

    private boolean mayBook(StateStore.Txn txn) {
        return ledger.bookings().size() + txn.writes() < MOST_BOOKINGS;
    }

    private void book(Kind kind, String zone, int count, StateStore.Txn txn) {
        String name = unique("r");
        Booking booking = new Booking(name, kind.type(), zone, kind.spot(), count, loop.timeOfDay());
        txn.guard(Keys.booking(name), 0).set(Keys.booking(name), booking.toJson());
    }

    private void trim(Instant now, Map<Kind, Integer> wanted, Map<Kind, Integer> have) {
        Duration patience =
                speedFirst ? operator.idleBeforeReturn().multipliedBy(IDLE_FOR_SPEED) : operator.idleBeforeReturn();
        List<MachineRecord> idle = new ArrayList<>();
        for (MachineRecord r : ledger.machines()) {
            if (r.condition() != Condition.UP || !ledger.claimsOn(r.name()).isEmpty()) {
                idleSince.remove(r.name());
            } else if (now.isAfter(idleSince.computeIfAbsent(r.name(), n -> now).plus(patience))) {
                idle.add(r);
            }
        }
        idleSince.keySet().removeIf(n -> ledger.machine(n) == null);
        // Judged by type: what spot machines can't give just now is not to be returned because they might. Ordinary
        // machines go first, then those that have been idle longest.
        idle.sort(Comparator.comparing(MachineRecord::spot)
                .thenComparing(r -> idleSince.get(r.name()))
                .thenComparing(MachineRecord::name));
        if (now.isBefore(nextTrim)) {
            return;
        }
        nextTrim = now.plus(TRIM_EVERY);
        Change change = new Change();
        Map<String, Integer> going = new HashMap<>();
        for (MachineRecord r : idle) {
            Kind s = new Kind(r.type(), true);
            Kind o = new Kind(r.type(), false);
            int surplus = have.getOrDefault(s, 0)
                    + have.getOrDefault(o, 0)
                    - wanted.getOrDefault(s, 0)
                    - wanted.getOrDefault(o, 0)
                    - going.getOrDefault(r.type(), 0);
            if (surplus > 0 && !inFlight.contains(r.name()) && change.mark(r.name(), MachineBatch.Service.RETIRING)) {
                LOG.info("returning {}: idle", r.name());
                going.merge(r.type(), 1, Integer::sum);
            }
        }
        change.write();
    }
}
