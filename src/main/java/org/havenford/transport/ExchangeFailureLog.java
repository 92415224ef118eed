package org.havenford.transport;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts failed exchanges, and logs the counts together for all failures within an interval. */
final class ExchangeFailureLog implements ExchangeFailureListener {
    private static final Logger LOG = LoggerFactory.getLogger(ExchangeFailureLog.class);
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final Map<ExchangeFailure, Integer> unloggedCounts = new EnumMap<>(ExchangeFailure.class);

    ExchangeFailureLog(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void exchangeFailed(ExchangeFailure failure, String method, String path) {
        LOG.debug("exchange failed: failure={} method={} path={}", failure, method, path);
        if (unloggedCounts.isEmpty()) {
            loop.after(LOG_INTERVAL, this::logCounts);
        }
        unloggedCounts.merge(failure, 1, Integer::sum);
    }

    private void logCounts() {
        LOG.warn("exchanges failed: counts={}", unloggedCounts);
        unloggedCounts.clear();
    }
}
