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
 * Cache of the final states of jobs. They are not replicated to the controllers, so they are read from the store when they
 * are needed. A final state never changes, hence a cached one is always right.
 */
public final class FinalStateCache {
    private static final Logger LOG = LoggerFactory.getLogger(FinalStateCache.class);
    private static final int MAX_CACHED = 20_000;
    /** Reads under way at a time, so that a pipeline with many jobs does not crowd out other calls. */
    static final int MAX_READS = 8;
    /** When to read again what was not there, or could not be read. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final EventLoop loop;
    private final StoreClient store;
    private final Runnable requestRound;
    private final Cache<String, FinalState> cache =
            CacheBuilder.newBuilder().maximumSize(MAX_CACHED).build();
    private final Set<String> readsUnderWay = new HashSet<>();
    private final Map<String, Instant> retryAt = new HashMap<>();

    /** {@code requestRound} is run whenever a read has brought a final state, or may be repeated. */
    public FinalStateCache(EventLoop loop, StoreClient store, Runnable requestRound) {
        this.loop = loop;
        this.store = store;
        this.requestRound = requestRound;
    }

    /** The final state of a job, or null while none is known here: rounds ask once per dependency, so nothing is allocated. */
    FinalState known(String jobId) {
        return cache.getIfPresent(jobId);
    }

    /** Adds a final state that was learnt from the store in another way. */
    void put(String jobId, FinalState state) {
        cache.put(jobId, state);
    }

    /** Parses and caches the final state that the store has returned; empty if it can't be parsed. */
    Optional<FinalState> parse(String jobId, StoreResult result) {
        try {
            FinalState state = FinalState.parse(result.value());
            cache.put(jobId, state);
            return Optional.of(state);
        } catch (MalformedMessageException e) {
            LOG.error("final state cannot be parsed: job={} cause=\"{}\"", jobId, e.getMessage());
            return Optional.empty();
        }
    }

    /** Starts to read a final state, unless a read is under way, was made a moment ago, or too many others are. */
    void read(String jobId) {
        Instant now = loop.now();
        if (readsUnderWay.size() >= MAX_READS
                || now.isBefore(retryAt.getOrDefault(jobId, Instant.MIN))
                || !readsUnderWay.add(jobId)) {
            return;
        }
        store.get(Keys.finalState(jobId), CallPriority.CLAIM, result -> {
            readsUnderWay.remove(jobId);
            retryAt.remove(jobId);
            if (result.ok() && parse(jobId, result).isPresent()) {
                requestRound.run();
                return;
            }
            // Absent: the job is one whose header our replica has yet to show.
            retryLater(jobId);
        });
    }

    private void retryLater(String jobId) {
        retryAt.put(jobId, loop.now().plus(RETRY_DELAY));
        loop.after(RETRY_DELAY, () -> {
            retryAt.remove(jobId);
            requestRound.run();
        });
    }
}
