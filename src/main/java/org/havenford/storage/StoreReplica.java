package org.havenford.storage;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectIterator;
import java.time.Duration;
import java.util.List;
import org.havenford.protocol.Json;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A copy of all keys below one prefix: read page by page at the start, then kept by a watch. Changes reach the
 * listener in the order of their stamps for every key; those of our own transactions at once when they are answered.
 */
public final class StoreReplica {
    private static final Logger LOG = LoggerFactory.getLogger(StoreReplica.class);
    /** A quiet store says after this long that nothing has changed; entitlement rests on hearing so. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(2);
    /** Part of this controller's requests that go to reopening the watch. */
    private static final double WATCH_SHARE = 0.25;

    /** Receives the changes of the mirrored keys. */
    public interface Listener {
        /** {@code value} is null when the key is gone. */
        void changed(String key, JsonElement value, long stamp);

        /** All keys have been read (again). */
        void loaded();

        /** A batch of changes has been told. */
        void changesApplied();
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final String prefix;
    private final Listener listener;
    /** Stamps of what we hold; negative for a key that was deleted at that stamp, until the watch has passed it. */
    private final Object2LongOpenHashMap<String> modRevisions = new Object2LongOpenHashMap<>();

    private boolean loaded;
    private long revision;

    /** A replica of the keys with the prefix; it is empty until started. */
    public StoreReplica(EventLoop loop, StoreClient store, String prefix, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.prefix = prefix;
        this.listener = listener;
    }

    /** Begins to read the keys. */
    public void start() {
        load(null, 0, new Object2LongOpenHashMap<>());
    }

    /** Whether all keys have been read. */
    public boolean loaded() {
        return loaded;
    }

    /** Everything up to here has been told; our own transactions may have been told earlier than that. */
    public long revision() {
        return revision;
    }

    /** Stamp of a key in this replica; 0 if the key does not exist. */
    public long modRevision(String key) {
        return Math.max(0, modRevisions.getLong(key));
    }

    private void load(String after, long first, Object2LongOpenHashMap<String> seen) {
        store.list(prefix, after, result -> {
            if (!result.ok()) {
                loop.after(Duration.ofMillis(200), () -> load(after, first, seen));
                return;
            }
            try {
                // The watch starts at the edition of the first page, so that whatever changes while the pages are
                // being read is told again, in order.
                long from = after == null ? result.revision() : first;
                String last = null;
                for (JsonObject item : Json.objects(result.body(), "items")) {
                    last = Json.text(item, "k");
                    long stamp = Json.count(item, "stamp");
                    seen.put(last, stamp);
                    apply(last, item.get("v"), stamp);
                }
                if (Json.flagOr(result.body(), "truncated", false) && last != null) {
                    load(last, from, seen);
                    return;
                }
                dropUnseen(seen, from);
                revision = from;
                watch();
            } catch (Json.BadMessage e) {
                LOG.warn("state service: a page of keys could not be read: {}", e.getMessage());
                loop.after(Duration.ofMillis(500), () -> load(after, first, seen));
            }
        });
    }

    /** After a second reading: keys that are gone meanwhile. */
    private void dropUnseen(Object2LongOpenHashMap<String> seen, long from) {
        for (String key : List.copyOf(modRevisions.keySet())) {
            long stamp = modRevisions.getLong(key);
            if (stamp > 0 && stamp <= from && !seen.containsKey(key)) {
                apply(key, null, from);
            }
        }
    }

    private void watch() {
        // Pages are read one after the other, so what they show together may never have been: only after the first
        // watch has told what changed meanwhile is the copy one that once was true.
        store.watch(prefix, revision, loaded ? WATCH_TIMEOUT : Duration.ZERO, result -> {
            if (result.outcome() == StoreOutcome.REJECTED) {
                loaded = false;
                start();
                return;
            }
            if (!result.ok()) {
                loop.after(Duration.ofMillis(200), this::watch);
                return;
            }
            try {
                boolean any = false;
                for (JsonObject event : Json.objects(result.body(), "log")) {
                    long stamp = Json.count(event, "stamp");
                    if (Json.has(event, "set")) {
                        apply(Json.text(event, "set"), event.get("v"), stamp);
                    } else {
                        apply(Json.text(event, "delete"), null, stamp);
                    }
                    any = true;
                }
                revision = Math.max(revision, result.revision());
                forgetTombstones();
                if (!loaded) {
                    loaded = true;
                    listener.loaded();
                    any = true;
                }
                if (any) {
                    listener.changesApplied();
                }
                loop.after(watchInterval(), this::watch);
            } catch (Json.BadMessage e) {
                LOG.warn("state service: changes could not be read: {}", e.getMessage());
                loop.after(Duration.ofMillis(500), this::watch);
            }
        });
    }

    /** A watch returns with each change, and each opening is a request: changes are gathered for as long as it takes. */
    private Duration watchInterval() {
        return Duration.ofMillis(
                (long) Math.max(20, Math.min(2000, 1000 / (WATCH_SHARE * store.evenShareOfRequests()))));
    }

    private void forgetTombstones() {
        ObjectIterator<it.unimi.dsi.fastutil.objects.Object2LongMap.Entry<String>> it =
                modRevisions.object2LongEntrySet().iterator();
        while (it.hasNext()) {
            long stamp = it.next().getLongValue();
            if (stamp < 0 && -stamp <= revision) {
                it.remove();
            }
        }
    }

    private void apply(String key, JsonElement value, long stamp) {
        if (stamp <= Math.abs(modRevisions.getLong(key))) {
            return;
        }
        modRevisions.put(key, value == null ? -stamp : stamp);
        listener.changed(key, value, stamp);
    }

    /** Applies what one of our own transactions has changed, without waiting for the watch. */
    public void applyCommitted(Transaction transaction, long stamp) {
        for (int i = 0; i < transaction.keys().size(); i++) {
            if (transaction.keys().get(i).startsWith(prefix)) {
                apply(transaction.keys().get(i), transaction.values().get(i), stamp);
            }
        }
        listener.changesApplied();
    }
}
