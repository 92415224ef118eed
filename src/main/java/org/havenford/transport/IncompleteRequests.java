package org.havenford.transport;

import java.nio.channels.Channel;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/**
 * The connections whose first request, or whose current request's body, is not complete yet. Their number and the memory
 * that their requests may take are bounded: the oldest ones are closed, so that clients which send slowly or not at all
 * keep out nobody else. Confined to the event loop.
 */
final class IncompleteRequests {
    private static final Logger LOG = LoggerFactory.getLogger(IncompleteRequests.class);
    /** Memory of all incomplete requests together, in bytes. */
    private static final long MAX_TOTAL_BYTES = 16L << 20;
    /** Age up to which a connection is not closed for the number of others: its request may still be on its way. */
    private static final Duration MIN_AGE = Duration.ofSeconds(1);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    /** When a connection began to wait for its request, and how much memory the request may take. */
    private record Entry(Instant since, int bytes) {}

    private final EventLoop loop;
    private final int maxConnections;
    private final Map<Channel, Entry> entries = new LinkedHashMap<>();
    private long totalBytes;
    private boolean checkScheduled;
    /** Connections closed since the last log line; if there are any, a line is scheduled. */
    private int closedSinceLog;

    /** Creates an empty collection in which at most {@code maxConnections} stay for longer than a second. */
    IncompleteRequests(EventLoop loop, int maxConnections) {
        this.loop = loop;
        this.maxConnections = maxConnections;
    }

    /** Adds a connection whose request may take {@code bytes} of memory until it is complete. */
    void add(Channel connection, int bytes) {
        remove(connection);
        entries.put(connection, new Entry(loop.now(), bytes));
        totalBytes += bytes;
        if (isOverLimits()) {
            closeOldest();
        }
    }

    /** Removes a connection whose request is complete. */
    void remove(Channel connection) {
        Entry entry = entries.remove(connection);
        if (entry != null) {
            totalBytes -= entry.bytes();
        }
    }

    private boolean isOverLimits() {
        return entries.size() > maxConnections || totalBytes > MAX_TOTAL_BYTES;
    }

    private void closeOldest() {
        removeClosed();
        Instant youngest = loop.now().minus(MIN_AGE);
        Iterator<Map.Entry<Channel, Entry>> oldestFirst = entries.entrySet().iterator();
        while (isOverLimits() && oldestFirst.hasNext()) {
            Map.Entry<Channel, Entry> oldest = oldestFirst.next();
            if (totalBytes <= MAX_TOTAL_BYTES && oldest.getValue().since().isAfter(youngest)) {
                break;
            }
            oldestFirst.remove();
            totalBytes -= oldest.getValue().bytes();
            IoUtils.safeClose(oldest.getKey());
            countClosed();
        }
        if (isOverLimits() && !checkScheduled) {
            checkScheduled = true;
            loop.after(CHECK_INTERVAL, this::check);
        }
    }

    private void countClosed() {
        closedSinceLog++;
        if (closedSinceLog == 1) {
            loop.after(LOG_INTERVAL, this::logClosed);
        }
    }

    private void logClosed() {
        LOG.warn("connections closed, too many without a complete request: connections={}", closedSinceLog);
        closedSinceLog = 0;
    }

    private void check() {
        checkScheduled = false;
        if (isOverLimits()) {
            closeOldest();
        }
    }

    private void removeClosed() {
        entries.entrySet().removeIf(entry -> {
            boolean closed = !entry.getKey().isOpen();
            totalBytes -= closed ? entry.getValue().bytes() : 0;
            return closed;
        });
    }
}
