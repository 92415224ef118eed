package org.havenford.coordination.jobs;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.havenford.protocol.Json;
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
    private static final Duration RETRY = Duration.ofMillis(300);

    private final EventLoop loop;
    private final StoreClient store;
    private final Runnable changed;
    private final Cache<String, FinalState> cache =
            CacheBuilder.newBuilder().maximumSize(MAX_CACHED).build();
    private final Set<String> reading = new HashSet<>();
    private final Map<String, Instant> retryAt = new HashMap<>();

    /** {@code changed} is run whenever a read has brought a final state. */
    public FinalStateCache(EventLoop loop, StoreClient store, Runnable changed) {
        this.loop = loop;
        this.store = store;
        this.changed = changed;
    }

    /** The final state of a job, or null while none is known here. */
    FinalState known(String id) {
        return cache.getIfPresent(id);
    }

    /** Adds what was learnt from the store in another way. */
    void put(String id, FinalState state) {
        cache.put(id, state);
    }

    /** Parses and caches the body of a read; null if it can't be understood. */
    FinalState parsed(String id, StoreResult result) {
        try {
            FinalState state = FinalState.parse(result.value());
            cache.put(id, state);
            return state;
        } catch (Json.BadMessage e) {
            LOG.error("the final state of {} can't be read: {}", id, e.getMessage());
            return null;
        }
    }

    /** Starts to read a final state, unless a read is under way, was made a moment ago, or too many others are. */
    void read(String id) {
        Instant now = loop.now();
        if (reading.size() >= MAX_READS || now.isBefore(retryAt.getOrDefault(id, Instant.MIN)) || !reading.add(id)) {
            return;
        }
        store.get(Keys.finalState(id), CallPriority.CLAIM, result -> {
            reading.remove(id);
            retryAt.remove(id);
            if (result.ok() && parsed(id, result) != null) {
                changed.run();
                return;
            }
            // Absent: the job is one whose header our replica has yet to show.
            retryAt.put(id, loop.now().plus(RETRY));
            loop.after(RETRY, () -> {
                retryAt.remove(id);
                changed.run();
            });
        });
    }
}
