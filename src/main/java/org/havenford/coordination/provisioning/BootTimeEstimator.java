package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.havenford.protocol.MachineType;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;

/**
 * How long rented machines take until they report, and which are overdue. What is expected of a machine follows from its
 * type and from what was seen of that type in its zone lately. An offer of which several machines are overdue, and none has
 * come up that was rented as late as they, is in trouble: it is asked for a few machines at a time until one comes up. All
 * but the times that were seen follows from the records, so a successor judges alike.
 */
final class BootTimeEstimator {
    /** Times its nominal boot time that a machine usually takes at the most. */
    private static final double USUAL_AT_MOST = 1.6;
    /** Times the longest of the last boots that a machine may take. */
    private static final double SEEN_MARGIN = 1.25;
    /** Times its nominal boot time after which a machine is overdue whatever was seen. */
    private static final double OVERDUE_FOR_SURE = 3;
    /** A machine needs this long to report and to be put on record as up. */
    private static final Duration REPORTED_WITHIN = Duration.ofSeconds(5);
    /** Boot time of a type that is not known. */
    private static final Duration UNKNOWN_TYPE = Duration.ofSeconds(60);
    /** After so many times its nominal boot time, and a while, a machine is given up. */
    private static final int GIVEN_UP = 3;

    private static final Duration GIVEN_UP_MARGIN = Duration.ofSeconds(20);
    private static final int REMEMBERED_BOOTS = 16;
    private static final int LEAST_BOOTS = 3;
    /** Overdue machines of one offer from which on it is taken to be in trouble. */
    private static final int TROUBLED_FROM = 2;
    /** Times between two tries of an offer in trouble, in nominal boot times. */
    private static final double TRY_EVERY = 1.0;

    /** Machines of one offer that boot. */
    private static final class Booting {
        private int overdue;
        private Instant oldestOverdue;
        private Instant lastRented = Instant.MIN;
        private Instant lastRentedThatCameUp = Instant.MIN;
    }

    private final ClusterState clusterState;
    private final Map<String, Instant> rentedAt = new HashMap<>();
    private final Map<InstanceOffer, ArrayDeque<Duration>> seen = new HashMap<>();
    private Map<InstanceOffer, Booting> booting = Map.of();
    private Instant now = Instant.MIN;

    BootTimeEstimator(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /** Forgets what was seen before this controller became the provisioner. */
    void reset() {
        rentedAt.clear();
        seen.clear();
        booting = Map.of();
    }

    /** Looks at all machines once more, at a time of day. */
    void update(Instant timeOfDay) {
        now = timeOfDay;
        learn();
        Map<InstanceOffer, Booting> next = new HashMap<>();
        for (MachineRecord machine : clusterState.machines()) {
            Booting of = next.computeIfAbsent(InstanceOffer.of(machine), k -> new Booting());
            Instant rented = clusterState.rentedAt(machine.name());
            of.lastRented = later(of.lastRented, rented);
            if (machine.condition() == Condition.BOOTING) {
                if (isOverdue(machine)) {
                    of.overdue++;
                    of.oldestOverdue =
                            of.oldestOverdue == null || rented.isBefore(of.oldestOverdue) ? rented : of.oldestOverdue;
                }
            } else {
                of.lastRentedThatCameUp = later(of.lastRentedThatCameUp, rented);
            }
        }
        booting = next;
    }

    /** Machines that were booting and are up have told how long it takes. */
    private void learn() {
        for (MachineRecord machine : clusterState.machines()) {
            if (machine.condition() == Condition.BOOTING) {
                rentedAt.putIfAbsent(machine.name(), clusterState.rentedAt(machine.name()));
            } else if (machine.condition() == Condition.UP && rentedAt.containsKey(machine.name())) {
                ArrayDeque<Duration> boots = seen.computeIfAbsent(InstanceOffer.of(machine), k -> new ArrayDeque<>());
                boots.addLast(Duration.between(rentedAt.remove(machine.name()), now));
                if (boots.size() > REMEMBERED_BOOTS) {
                    boots.removeFirst();
                }
            }
        }
        rentedAt.keySet().removeIf(name -> clusterState.machine(name) == null);
    }

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }

    private Duration nominal(String type) {
        MachineType known = clusterState.types().get(type);
        return known == null ? UNKNOWN_TYPE : known.bootTime();
    }

    private static Duration times(Duration duration, double factor) {
        return Duration.ofMillis((long) (duration.toMillis() * factor));
    }

    /** Time within which a rented machine of an offer is expected to be up. */
    Duration expected(InstanceOffer offer) {
        Duration nominal = nominal(offer.kind().type());
        Duration usual = times(nominal, USUAL_AT_MOST);
        List<Duration> boots = new ArrayList<>(seen.getOrDefault(offer, new ArrayDeque<>()));
        if (boots.size() >= LEAST_BOOTS) {
            boots.sort(null);
            // One that took far longer than the others says nothing of the next.
            Duration longest = times(boots.get(boots.size() - 2), SEEN_MARGIN);
            usual = longest.compareTo(usual) > 0 ? longest : usual;
        }
        Duration most = times(nominal, OVERDUE_FOR_SURE);
        return (usual.compareTo(most) > 0 ? most : usual).plus(REPORTED_WITHIN);
    }

    private Duration age(MachineRecord machine) {
        return Duration.between(clusterState.rentedAt(machine.name()), now);
    }

    /** Whether a machine that boots should have been up by now: then it counts no longer as on its way. */
    boolean isOverdue(MachineRecord machine) {
        return machine.condition() == Condition.BOOTING
                && age(machine).compareTo(expected(InstanceOffer.of(machine))) > 0;
    }

    /** Whether a machine that boots is not waited for any longer. */
    boolean isGivenUp(MachineRecord machine) {
        Duration patience = nominal(machine.type()).multipliedBy(GIVEN_UP).plus(GIVEN_UP_MARGIN);
        return machine.condition() == Condition.BOOTING && age(machine).compareTo(patience) > 0;
    }

    /** Whether machines of an offer don't come up at present. */
    boolean isTroubled(InstanceOffer offer) {
        Booting of = booting.get(offer);
        return of != null && of.overdue >= TROUBLED_FROM && of.lastRentedThatCameUp.isBefore(of.oldestOverdue);
    }

    /** Whether an offer in trouble may be tried again: a while after the last try. */
    boolean mayBeTried(InstanceOffer offer) {
        Booting of = booting.get(offer);
        Duration between = times(nominal(offer.kind().type()), TRY_EVERY);
        return of == null || !now.isBefore(of.lastRented.plus(between));
    }

    /** Numbers of overdue machines, by what was rented. */
    Map<InstanceOffer, Integer> overdue() {
        Map<InstanceOffer, Integer> overdue = new HashMap<>();
        booting.forEach((offer, of) -> {
            if (of.overdue > 0) {
                overdue.put(offer, of.overdue);
            }
        });
        return overdue;
    }
}
