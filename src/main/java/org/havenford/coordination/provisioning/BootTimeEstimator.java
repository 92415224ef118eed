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
 * Estimates how long a launched machine takes until its first report, and detects machines that are overdue. The
 * estimate is based on the nominal boot time of the machine's type and on the recent boots of the same offer.
 *
 * <p>An offer fails to boot if several of its machines are overdue and none that was launched with the oldest of them
 * or later has come up. It is then requested only in small numbers until one of its machines comes up. Apart from the
 * recent boot times, all results are derived from stored records, so the next provisioning leader reaches the same
 * decisions after a failover.
 */
final class BootTimeEstimator {
    /** Multiple of the nominal boot time within which a machine usually reports. */
    private static final double TYPICAL_BOOT_FACTOR = 1.6;
    /** Multiple of the second longest recent boot that a machine may take. */
    private static final double RECENT_BOOT_FACTOR = 1.25;
    /** Upper bound of the estimate, as a multiple of the nominal boot time, regardless of the recent boots. */
    private static final double MAX_BOOT_FACTOR = 3;
    /** Allowance for the machine's first report and for storing its condition as up. */
    private static final Duration REPORT_DELAY = Duration.ofSeconds(5);
    /** Nominal boot time assumed for an unknown machine type. */
    private static final Duration DEFAULT_BOOT_TIME = Duration.ofSeconds(60);
    /** Multiple of the nominal boot time that, plus a fixed margin, is the boot timeout. */
    private static final int BOOT_TIMEOUT_FACTOR = 3;

    private static final Duration BOOT_TIMEOUT_MARGIN = Duration.ofSeconds(20);
    private static final int MAX_RECENT_BOOTS = 16;
    private static final int MIN_RECENT_BOOTS = 3;
    /** Minimum number of overdue machines for an offer to be considered failing to boot. */
    private static final int MIN_OVERDUE_TO_FAIL = 2;
    /** Interval between retries of an offer that fails to boot, as a multiple of the nominal boot time. */
    private static final double RETRY_INTERVAL_FACTOR = 1.0;

    /** Boot statistics of the machines of one offer. */
    private static final class OfferBootStats {
        private int overdue;
        /** Launch time of the oldest overdue machine; null if none is overdue. */
        private Instant oldestOverdueLaunch;
        /** Launch time of the most recently launched machine. */
        private Instant lastLaunch;
        /** Latest launch time among the machines that have come up; null if none has. */
        private Instant lastSuccessfulLaunch;

        void recordLaunch(Instant launchedAt) {
            lastLaunch = later(lastLaunch, launchedAt);
        }

        void recordOverdue(Instant launchedAt) {
            overdue++;
            if (oldestOverdueLaunch == null || launchedAt.isBefore(oldestOverdueLaunch)) {
                oldestOverdueLaunch = launchedAt;
            }
        }

        void recordCameUp(Instant launchedAt) {
            lastSuccessfulLaunch = later(lastSuccessfulLaunch, launchedAt);
        }

        boolean isFailing() {
            return overdue >= MIN_OVERDUE_TO_FAIL
                    && (lastSuccessfulLaunch == null || lastSuccessfulLaunch.isBefore(oldestOverdueLaunch));
        }

        private static Instant later(Instant known, Instant other) {
            return known != null && known.isAfter(other) ? known : other;
        }
    }

    private final ClusterState clusterState;
    private final Map<String, Instant> bootingSince = new HashMap<>();
    private final Map<InstanceOffer, ArrayDeque<Duration>> recentBoots = new HashMap<>();
    private Map<InstanceOffer, OfferBootStats> bootStatsByOffer = Map.of();
    /** Wall-clock time of the last update, which all later queries refer to. */
    private Instant updatedAt;

    BootTimeEstimator(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /** Discards all boot times; called when this controller becomes the provisioning leader. */
    void reset() {
        bootingSince.clear();
        recentBoots.clear();
        bootStatsByOffer = Map.of();
    }

    /** Updates the statistics from the current condition of all machines. Must be called before any other query. */
    void update(Instant timeOfDay) {
        updatedAt = timeOfDay;
        recordBootTimes();
        Map<InstanceOffer, OfferBootStats> updatedStats = new HashMap<>();
        for (MachineRecord machine : clusterState.machines()) {
            OfferBootStats stats =
                    updatedStats.computeIfAbsent(InstanceOffer.of(machine), offer -> new OfferBootStats());
            Instant launchedAt = clusterState.launchedAt(machine.name());
            stats.recordLaunch(launchedAt);
            if (machine.condition() != Condition.BOOTING) {
                stats.recordCameUp(launchedAt);
            } else if (isOverdue(machine)) {
                stats.recordOverdue(launchedAt);
            }
        }
        bootStatsByOffer = updatedStats;
    }

    /** Records the boot times of machines that have come up since the last update. */
    private void recordBootTimes() {
        for (MachineRecord machine : clusterState.machines()) {
            if (machine.condition() == Condition.BOOTING) {
                bootingSince.putIfAbsent(machine.name(), clusterState.launchedAt(machine.name()));
            } else if (machine.condition() == Condition.UP && bootingSince.containsKey(machine.name())) {
                ArrayDeque<Duration> boots =
                        recentBoots.computeIfAbsent(InstanceOffer.of(machine), offer -> new ArrayDeque<>());
                boots.addLast(Duration.between(bootingSince.remove(machine.name()), updatedAt));
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

    /** Returns the time after launch within which a machine of the offer should be up. */
    Duration expectedBootTime(InstanceOffer offer) {
        Duration nominal = nominalBootTime(offer.kind().type());
        Duration expected = scaled(nominal, TYPICAL_BOOT_FACTOR);
        List<Duration> boots = new ArrayList<>(recentBoots.getOrDefault(offer, new ArrayDeque<>()));
        if (boots.size() >= MIN_RECENT_BOOTS) {
            boots.sort(null);
            // The longest boot is ignored, since a single outlier does not predict the next boots.
            Duration recentBound = scaled(boots.get(boots.size() - 2), RECENT_BOOT_FACTOR);
            expected = recentBound.compareTo(expected) > 0 ? recentBound : expected;
        }
        Duration upperBound = scaled(nominal, MAX_BOOT_FACTOR);
        return (expected.compareTo(upperBound) > 0 ? upperBound : expected).plus(REPORT_DELAY);
    }

    private Duration timeSinceLaunch(MachineRecord machine) {
        return Duration.between(clusterState.launchedAt(machine.name()), updatedAt);
    }

    /**
     * Returns whether a booting machine has exceeded its expected boot time. An overdue machine no longer counts as
     * present.
     */
    boolean isOverdue(MachineRecord machine) {
        return machine.condition() == Condition.BOOTING
                && timeSinceLaunch(machine).compareTo(expectedBootTime(InstanceOffer.of(machine))) > 0;
    }

    /** Returns whether a booting machine has exceeded its boot timeout and should be returned. */
    boolean hasTimedOut(MachineRecord machine) {
        Duration timeout = nominalBootTime(machine.type())
                .multipliedBy(BOOT_TIMEOUT_FACTOR)
                .plus(BOOT_TIMEOUT_MARGIN);
        return machine.condition() == Condition.BOOTING
                && timeSinceLaunch(machine).compareTo(timeout) > 0;
    }

    /**
     * Returns whether machines of an offer currently fail to boot: several are overdue, and none that was launched with
     * the oldest of them or later has come up.
     */
    boolean isFailingToBoot(InstanceOffer offer) {
        OfferBootStats stats = bootStatsByOffer.get(offer);
        return stats != null && stats.isFailing();
    }

    /** Returns whether the retry interval of an offer that fails to boot has passed since its last launch. */
    boolean isRetryDue(InstanceOffer offer) {
        OfferBootStats stats = bootStatsByOffer.get(offer);
        Duration interval = scaled(nominalBootTime(offer.kind().type()), RETRY_INTERVAL_FACTOR);
        return stats == null || !updatedAt.isBefore(stats.lastLaunch.plus(interval));
    }

    /** Returns the number of overdue machines by offer, without the offers that have none. */
    Map<InstanceOffer, Integer> overdueByOffer() {
        Map<InstanceOffer, Integer> overdue = new HashMap<>();
        bootStatsByOffer.forEach((offer, stats) -> {
            if (stats.overdue > 0) {
                overdue.put(offer, stats.overdue);
            }
        });
        return overdue;
    }
}
