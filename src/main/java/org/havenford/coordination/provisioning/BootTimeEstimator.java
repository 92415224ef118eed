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
 * Estimates how long launched machines take until they report, and which are overdue. The estimate follows from the machine's
 * type and from the recent boots of that type in its zone. An offer of which several machines are overdue, and none has come
 * up that was launched as late as they, fails to boot: a few of its machines are requested at a time until one comes up. All
 * but the recent boot times follows from the records, so a successor decides alike.
 */
final class BootTimeEstimator {
    /** Times its nominal boot time that a machine usually takes at the most. */
    private static final double USUAL_BOOT_FACTOR = 1.6;
    /** Times the second longest of the recent boots that a machine may take. */
    private static final double RECENT_BOOT_FACTOR = 1.25;
    /** Times its nominal boot time after which a machine is overdue, however long recent boots took. */
    private static final double MAX_BOOT_FACTOR = 3;
    /** A machine needs this long to report and to be put on record as up. */
    private static final Duration REPORT_DELAY = Duration.ofSeconds(5);
    /** Boot time of a type that is not known. */
    private static final Duration DEFAULT_BOOT_TIME = Duration.ofSeconds(60);
    /** After so many times its nominal boot time, and a margin, a machine is given up. */
    private static final int GIVE_UP_FACTOR = 3;

    private static final Duration GIVE_UP_MARGIN = Duration.ofSeconds(20);
    private static final int MAX_RECENT_BOOTS = 16;
    private static final int MIN_RECENT_BOOTS = 3;
    /** Overdue machines of one offer from which on it may count as failing to boot. */
    private static final int MIN_OVERDUE_TO_FAIL = 2;
    /** Time between two trials of an offer that fails to boot, in nominal boot times. */
    private static final double RETRY_FACTOR = 1.0;

    /** What is known of the boots of one offer's machines. */
    private static final class OfferBoots {
        private int overdue;
        /** When the oldest overdue machine was launched; null while none is overdue. */
        private Instant oldestOverdue;
        /** When the last machine was launched. */
        private Instant lastLaunched;
        /** When the last of the machines that came up was launched; null while none has. */
        private Instant lastLaunchedThatCameUp;

        void addLaunched(Instant launched) {
            lastLaunched = later(lastLaunched, launched);
        }

        void addOverdue(Instant launched) {
            overdue++;
            if (oldestOverdue == null || launched.isBefore(oldestOverdue)) {
                oldestOverdue = launched;
            }
        }

        void addCameUp(Instant launched) {
            lastLaunchedThatCameUp = later(lastLaunchedThatCameUp, launched);
        }

        boolean isFailing() {
            return overdue >= MIN_OVERDUE_TO_FAIL
                    && (lastLaunchedThatCameUp == null || lastLaunchedThatCameUp.isBefore(oldestOverdue));
        }

        private static Instant later(Instant known, Instant other) {
            return known != null && known.isAfter(other) ? known : other;
        }
    }

    private final ClusterState clusterState;
    private final Map<String, Instant> bootingSince = new HashMap<>();
    private final Map<InstanceOffer, ArrayDeque<Duration>> recentBoots = new HashMap<>();
    private Map<InstanceOffer, OfferBoots> bootsByOffer = Map.of();
    /** Time of day of the last update. */
    private Instant now;

    BootTimeEstimator(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /** Forgets the boot times from before this controller became the provisioner. */
    void reset() {
        bootingSince.clear();
        recentBoots.clear();
        bootsByOffer = Map.of();
    }

    /** Takes in the present condition of all machines; called before the first estimate. */
    void update(Instant timeOfDay) {
        now = timeOfDay;
        recordBootTimes();
        Map<InstanceOffer, OfferBoots> updated = new HashMap<>();
        for (MachineRecord machine : clusterState.machines()) {
            OfferBoots boots = updated.computeIfAbsent(InstanceOffer.of(machine), offer -> new OfferBoots());
            Instant launched = clusterState.rentedAt(machine.name());
            boots.addLaunched(launched);
            if (machine.condition() != Condition.BOOTING) {
                boots.addCameUp(launched);
            } else if (isOverdue(machine)) {
                boots.addOverdue(launched);
            }
        }
        bootsByOffer = updated;
    }

    /** Takes in the boot times of the machines that were booting and are up now. */
    private void recordBootTimes() {
        for (MachineRecord machine : clusterState.machines()) {
            if (machine.condition() == Condition.BOOTING) {
                bootingSince.putIfAbsent(machine.name(), clusterState.rentedAt(machine.name()));
            } else if (machine.condition() == Condition.UP && bootingSince.containsKey(machine.name())) {
                ArrayDeque<Duration> boots =
                        recentBoots.computeIfAbsent(InstanceOffer.of(machine), offer -> new ArrayDeque<>());
                boots.addLast(Duration.between(bootingSince.remove(machine.name()), now));
                if (boots.size() > MAX_RECENT_BOOTS) {
                    boots.removeFirst();
                }
            }
        }
        bootingSince.keySet().removeIf(name -> clusterState.machine(name) == null);
    }

    private Duration nominalBootTime(String type) {
        MachineType machineType = clusterState.types().get(type);
        return machineType == null ? DEFAULT_BOOT_TIME : machineType.bootTime();
    }

    private static Duration scaled(Duration duration, double factor) {
        return Duration.ofMillis((long) (duration.toMillis() * factor));
    }

    /** The boot time estimate: time from launch within which a machine of an offer should be up. */
    Duration expectedBootTime(InstanceOffer offer) {
        Duration nominal = nominalBootTime(offer.kind().type());
        Duration usual = scaled(nominal, USUAL_BOOT_FACTOR);
        List<Duration> boots = new ArrayList<>(recentBoots.getOrDefault(offer, new ArrayDeque<>()));
        if (boots.size() >= MIN_RECENT_BOOTS) {
            boots.sort(null);
            // One boot that took far longer than the others says nothing of the next.
            Duration longest = scaled(boots.get(boots.size() - 2), RECENT_BOOT_FACTOR);
            usual = longest.compareTo(usual) > 0 ? longest : usual;
        }
        Duration most = scaled(nominal, MAX_BOOT_FACTOR);
        return (usual.compareTo(most) > 0 ? most : usual).plus(REPORT_DELAY);
    }

    private Duration timeSinceLaunch(MachineRecord machine) {
        return Duration.between(clusterState.rentedAt(machine.name()), now);
    }

    /** Whether a machine that boots should have been up by now: then it counts no longer as on its way. */
    boolean isOverdue(MachineRecord machine) {
        return machine.condition() == Condition.BOOTING
                && timeSinceLaunch(machine).compareTo(expectedBootTime(InstanceOffer.of(machine))) > 0;
    }

    /** Whether a machine that boots is given up, since its boot time is over by far. */
    boolean isGivenUp(MachineRecord machine) {
        Duration patience =
                nominalBootTime(machine.type()).multipliedBy(GIVE_UP_FACTOR).plus(GIVE_UP_MARGIN);
        return machine.condition() == Condition.BOOTING
                && timeSinceLaunch(machine).compareTo(patience) > 0;
    }

    /** Whether machines of an offer don't come up at present: some are overdue, and none has come up that was launched as late. */
    boolean isFailingToBoot(InstanceOffer offer) {
        OfferBoots boots = bootsByOffer.get(offer);
        return boots != null && boots.isFailing();
    }

    /** Whether an offer that fails to boot may be requested again: some time after the last launch. */
    boolean mayRetry(InstanceOffer offer) {
        OfferBoots boots = bootsByOffer.get(offer);
        Duration interval = scaled(nominalBootTime(offer.kind().type()), RETRY_FACTOR);
        return boots == null || !now.isBefore(boots.lastLaunched.plus(interval));
    }

    /** Numbers of overdue machines, by offer; offers without any are left out. */
    Map<InstanceOffer, Integer> overdueByOffer() {
        Map<InstanceOffer, Integer> overdue = new HashMap<>();
        bootsByOffer.forEach((offer, boots) -> {
            if (boots.overdue > 0) {
                overdue.put(offer, boots.overdue);
            }
        });
        return overdue;
    }
}
