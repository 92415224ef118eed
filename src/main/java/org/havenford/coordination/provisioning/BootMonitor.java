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
 * Tells operators of rented machines that are overdue or were given up, gathered by type and zone: when the first is overdue,
 * then at growing intervals, and once none is any more.
 */
final class BootMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(BootMonitor.class);
    private static final Duration FIRST_INTERVAL = Duration.ofSeconds(30);
    private static final Duration LONGEST_INTERVAL = Duration.ofMinutes(8);

    /** Machines that are told of together. */
    private record Group(String type, String zone) {}

    private record Told(Instant next, Duration interval) {}

    private final Map<Group, Told> told = new HashMap<>();
    private int overdueNow;
    private int countGivenUp;

    /** Machines that are overdue at a moment, by what was rented. */
    void reportOverdue(Map<InstanceOffer, Integer> machines, BootTimeEstimator times, Instant now) {
        Map<Group, Integer> groups = new HashMap<>();
        Map<Group, Duration> expected = new HashMap<>();
        machines.forEach((offer, number) -> {
            Group group = new Group(offer.kind().type(), offer.zone());
            groups.merge(group, number, Integer::sum);
            expected.put(group, times.expected(offer));
        });
        overdueNow = groups.values().stream().mapToInt(Integer::intValue).sum();
        groups.forEach((group, number) -> tell(group, number, expected.get(group), now));
        Set<Group> over = new HashSet<>(told.keySet());
        over.removeAll(groups.keySet());
        for (Group group : over) {
            told.remove(group);
            LOG.info("no machine of {} in {} is overdue any more", group.type(), group.zone());
        }
    }

    private void tell(Group group, int number, Duration expected, Instant now) {
        Told before = told.get(group);
        if (before != null && now.isBefore(before.next())) {
            return;
        }
        Duration interval = before == null ? FIRST_INTERVAL : before.interval().multipliedBy(2);
        interval = interval.compareTo(LONGEST_INTERVAL) > 0 ? LONGEST_INTERVAL : interval;
        told.put(group, new Told(now.plus(interval), interval));
        LOG.warn(
                "{} machines of {} in {} are overdue: they were rented and should have been up after {} s",
                number,
                group.type(),
                group.zone(),
                expected.toSeconds());
    }

    /** A machine that did not come up is returned. */
    void countGivenUp() {
        countGivenUp++;
    }

    /** For the log's line of each minute; counts of machines given up since the last one. */
    String summary() {
        String text = "overdue " + overdueNow + ", given up " + countGivenUp;
        countGivenUp = 0;
        return text;
    }
}
