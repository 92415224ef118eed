package org.havenford.coordination.jobs;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreResult;
import org.havenford.storage.records.FinalState;
import org.havenford.storage.records.Keys;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cache of the final states of jobs. Final states are not part of the replica, so they are read from the store on
 * demand. A final state never changes, so cached entries never become stale.
 */
public final class FinalStateCache {
    private static final Logger LOG = LoggerFactory.getLogger(FinalStateCache.class);
    private static final int MAX_CACHED_STATES = 20_000;
    /** Limit of concurrent reads, so that a pipeline with many jobs does not delay other calls to the store. */
    static final int MAX_CONCURRENT_READS = 8;
    /** Delay before a final state that was absent or unreadable is read again. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final EventLoop loop;
    private final StoreClient store;
    private final Runnable requestRound;
    private final Cache<String, FinalState> cache =
            CacheBuilder.newBuilder().maximumSize(MAX_CACHED_STATES).build();
    private final Set<String> pendingReads = new HashSet<>();
    private final Map<String, Instant> retryTimes = new HashMap<>();

    /**
     * Creates an empty cache.
     *
     * @param requestRound requests a scheduling round when a final state was read, and when a failed read may be
     * repeated
     */
    public FinalStateCache(EventLoop loop, StoreClient store, Runnable requestRound) {
        this.loop = loop;
        this.store = store;
        this.requestRound = requestRound;
    }

    /**
     * Returns the cached final state of a job, or null. It returns null instead of an {@link Optional} to avoid an
     * allocation per dependency in every scheduling round.
     */
    FinalState cached(String jobId) {
        return cache.getIfPresent(jobId);
    }

    /** Adds a final state that this controller has committed. */
    void put(String jobId, FinalState state) {
        cache.put(jobId, state);
    }

    /** Parses a final state returned by the store and adds it to the cache; returns empty if it cannot be parsed. */
    Optional<FinalState> parseAndCache(String jobId, StoreResult result) {
        try {
            FinalState state = FinalState.parse(result.value());
            cache.put(jobId, state);
            return Optional.of(state);
        } catch (MalformedMessageException e) {
            LOG.error("final state cannot be parsed: job={} cause=\"{}\"", jobId, e.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Starts to read a final state from the store, unless a read of it is in flight, the retry delay after a failed
     * read has not passed, or {@link #MAX_CONCURRENT_READS} reads are in flight.
     */
    void startRead(String jobId) {
        Instant now = loop.now();
        if (pendingReads.size() >= MAX_CONCURRENT_READS
                || now.isBefore(retryTimes.getOrDefault(jobId, Instant.MIN))
                || !pendingReads.add(jobId)) {
            return;
        }
        store.get(Keys.finalState(jobId), CallPriority.CLAIM, result -> {
            pendingReads.remove(jobId);
            retryTimes.remove(jobId);
            if (result.ok() && parseAndCache(jobId, result).isPresent()) {
                requestRound.run();
                return;
            }
            // A missing final state means that the job has not ended and its header has yet to reach the replica.
            retryLater(jobId);
        });
    }

    private void retryLater(String jobId) {
        retryTimes.put(jobId, loop.now().plus(RETRY_DELAY));
        loop.after(RETRY_DELAY, () -> {
            retryTimes.remove(jobId);
            requestRound.run();
        });
    }
}
