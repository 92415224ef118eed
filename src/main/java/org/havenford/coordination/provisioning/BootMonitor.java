package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs machines that are overdue to boot, grouped by type and zone. Each group is logged when its first machine becomes
 * overdue, then at doubling intervals, and once more when none is overdue. Also counts the machines that were given up.
 */
final class BootMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(BootMonitor.class);
    private static final Duration FIRST_INTERVAL = Duration.ofSeconds(30);
    private static final Duration MAX_INTERVAL = Duration.ofMinutes(8);

    /** The type and zone by which overdue machines are grouped in the log. */
    private record Group(String type, String zone) {}

    private record LastReport(Instant nextAt, Duration interval) {}

    private final Map<Group, LastReport> lastReports = new HashMap<>();
    private int overdueCount;
    private int givenUp;

    /** Logs the currently overdue machines, given as counts by offer. */
    void reportOverdue(Map<InstanceOffer, Integer> overdueByOffer, BootTimeEstimator bootTimeEstimator, Instant now) {
        Map<Group, Integer> overdueByGroup = new HashMap<>();
        Map<Group, Duration> expectedByGroup = new HashMap<>();
        overdueByOffer.forEach((offer, count) -> {
            Group group = new Group(offer.kind().type(), offer.zone());
            overdueByGroup.merge(group, count, Integer::sum);
            expectedByGroup.put(group, bootTimeEstimator.expectedBootTime(offer));
        });
        overdueCount =
                overdueByGroup.values().stream().mapToInt(Integer::intValue).sum();
        overdueByGroup.forEach((group, count) -> report(group, count, expectedByGroup.get(group), now));
        Set<Group> recovered = new HashSet<>(lastReports.keySet());
        recovered.removeAll(overdueByGroup.keySet());
        for (Group group : recovered) {
            lastReports.remove(group);
            LOG.info("no machines are overdue to boot any more: type={} zone={}", group.type(), group.zone());
        }
    }

    private void report(Group group, int count, Duration expected, Instant now) {
        LastReport last = lastReports.get(group);
        if (last != null && now.isBefore(last.nextAt())) {
            return;
        }
        Duration doubled = last == null ? FIRST_INTERVAL : last.interval().multipliedBy(2);
        Duration interval = doubled.compareTo(MAX_INTERVAL) > 0 ? MAX_INTERVAL : doubled;
        lastReports.put(group, new LastReport(now.plus(interval), interval));
        LOG.warn(
                "machines are overdue to boot: machines={} type={} zone={} expectedSeconds={}",
                count,
                group.type(),
                group.zone(),
                expected.toSeconds());
    }

    /** Counts a machine that is returned before it has come up. */
    void countGivenUp() {
        givenUp++;
    }

    /**
     * Returns a fragment of the statistics line that is logged every minute: the machines that are overdue now, and
     * those given up since the last call.
     */
    String summary() {
        String text = "overdue=" + overdueCount + " givenUp=" + givenUp;
        givenUp = 0;
        return text;
    }
}
