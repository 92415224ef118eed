package org.havenford.storage;

import java.util.Arrays;
import java.util.Locale;
import java.util.TreeMap;
import org.havenford.protocol.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts of the calls to the store since the last summary, for the log. */
final class StoreStatistics {
    private static final Logger LOG = LoggerFactory.getLogger(StoreStatistics.class);

    private final long[] sentRequests = new long[CallPriority.values().length];
    private final TreeMap<String, Integer> conflictingKeyKinds = new TreeMap<>();
    private long operations;
    private long conflicts;
    private long refusals;
    private long expired;
    private long stale;

    /** Counts a request that is sent, and its operations. */
    void countSent(StoreCall call) {
        sentRequests[call.priority().ordinal()]++;
        operations += call.request().operationCount();
    }

    /** Counts a request that the store refused because of its limits. */
    void countRefusal() {
        refusals++;
    }

    /** Counts a call that reached its deadline before it could be sent. */
    void countExpired() {
        expired++;
    }

    /** Counts a transaction that was not sent, since its conditions were known to fail. */
    void countStale() {
        stale++;
    }

    /** Counts a conflict, and the kinds of its conflicting keys, which show where a remedy has to start. */
    void countConflict(StoreResult result) {
        conflicts++;
        try {
            for (String key : result.conflictingKeys()) {
                conflictingKeyKinds.merge(keyKind(key), 1, Integer::sum);
            }
        } catch (MalformedMessageException e) {
            LOG.warn("cannot read conflicting keys: error={}", e.getMessage());
        }
    }

    /** Returns the second part of a key, such as {@code job} for {@code live/job/j-1}. */
    private static String keyKind(String key) {
        int first = key.indexOf('/');
        int second = key.indexOf('/', first + 1);
        return second > 0 ? key.substring(first + 1, second) : key.substring(first + 1);
    }

    /** Returns the counts as {@code key=value} pairs and resets them. */
    String takeSummary(int queued, double share) {
        StringBuilder summary = new StringBuilder();
        for (CallPriority priority : CallPriority.values()) {
            summary.append(priority.name().toLowerCase(Locale.ROOT))
                    .append("Requests=")
                    .append(sentRequests[priority.ordinal()])
                    .append(' ');
        }
        summary.append("operations=").append(operations);
        summary.append(" conflicts=").append(conflicts);
        summary.append(" conflictingKeys=").append(conflictingKeyKinds);
        summary.append(" refused=").append(refusals);
        summary.append(" expired=").append(expired);
        summary.append(" stale=").append(stale);
        summary.append(" queued=").append(queued);
        summary.append(String.format(Locale.ROOT, " share=%.2f", share));
        reset();
        return summary.toString();
    }

    private void reset() {
        Arrays.fill(sentRequests, 0);
        conflictingKeyKinds.clear();
        operations = 0;
        conflicts = 0;
        refusals = 0;
        expired = 0;
        stale = 0;
    }
}
