package org.havenford.storage;

import com.google.gson.JsonElement;
import it.unimi.dsi.fastutil.objects.Object2LongMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectIterator;
import java.time.Duration;
import java.util.List;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A copy of all keys below one prefix: read page by page at the start, then kept by a watch. Changes of a key reach the
 * listener in the order of their mod revisions; those of our own transactions at once when they are answered.
 */
public final class StoreReplica {
    private static final Logger LOG = LoggerFactory.getLogger(StoreReplica.class);
    /** A quiet store says after this long that nothing has changed; whether we may decide rests on hearing so. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(2);
    /** Part of this controller's requests that go to reopening the watch. */
    private static final double WATCH_SHARE = 0.25;

    private static final int MIN_WATCH_INTERVAL_MILLIS = 20;
    private static final int MAX_WATCH_INTERVAL_MILLIS = 2000;
    private static final Duration FAILED_CALL_RETRY = Duration.ofMillis(200);
    private static final Duration MALFORMED_RESPONSE_RETRY = Duration.ofMillis(500);

    /** Receives the changes of the replicated keys. */
    public interface Listener {
        /** A key has changed; {@code value} is null when the key is gone. */
        void changed(String key, JsonElement value, long modRevision);

        /** All keys have been read (again). */
        void loaded();

        /** A batch of changes has been told. */
        void changesApplied();
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final String prefix;
    private final Listener listener;
    /**
     * Mod revisions of the keys that we hold. Negative is a tombstone: the key was deleted at that revision, and is kept
     * until the watch has passed it.
     */
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
        new InitialLoad().readPage(null);
    }

    /** Whether all keys have been read. */
    public boolean loaded() {
        return loaded;
    }

    /** Everything up to this store revision has been told; our own transactions may have been told earlier than that. */
    public long revision() {
        return revision;
    }

    /** Mod revision of a key in this replica; 0 if the key does not exist. */
    public long modRevision(String key) {
        return Math.max(0, modRevisions.getLong(key));
    }

    /** Applies what one of our own transactions has changed, without waiting for the watch. */
    public void applyCommitted(Transaction transaction, long committedRevision) {
        for (Transaction.Operation operation : transaction.operations()) {
            if (operation.key().startsWith(prefix)) {
                apply(operation.key(), operation.valueOrNull(), committedRevision);
            }
        }
        listener.changesApplied();
    }

    private void apply(String key, JsonElement value, long modRevision) {
        if (modRevision <= Math.abs(modRevisions.getLong(key))) {
            return;
        }
        modRevisions.put(key, value == null ? -modRevision : modRevision);
        listener.changed(key, value, modRevision);
    }

    /** One reading of all keys, page by page; it ends with the first watch. */
    private final class InitialLoad {
        private final Object2LongOpenHashMap<String> seen = new Object2LongOpenHashMap<>();
        /**
         * Revision of the first page. The watch starts at it, so that whatever changes while the pages are being read is
         * told again, in order.
         */
        private long firstPageRevision;
        /** Null while the page holds none. */
        private String lastKeyOfPage;

        /** Reads the page after a key, or the first if null, and then the next ones. */
        void readPage(String after) {
            store.list(prefix, after, page -> {
                if (!page.ok()) {
                    loop.after(FAILED_CALL_RETRY, () -> readPage(after));
                    return;
                }
                try {
                    applyPage(after, page);
                } catch (MalformedMessageException e) {
                    LOG.warn("cannot read a page of keys, retrying: prefix={} error={}", prefix, e.getMessage());
                    loop.after(MALFORMED_RESPONSE_RETRY, () -> readPage(after));
                }
            });
        }

        private void applyPage(String after, StoreResult page) throws MalformedMessageException {
            if (after == null) {
                firstPageRevision = page.revision();
            }
            lastKeyOfPage = null;
            page.visitEntries(this::applyEntry);
            if (page.hasMorePages() && lastKeyOfPage != null) {
                readPage(lastKeyOfPage);
                return;
            }
            dropUnseen();
            revision = firstPageRevision;
            watch();
        }

        private void applyEntry(String key, JsonElement value, long modRevision) {
            lastKeyOfPage = key;
            seen.put(key, modRevision);
            apply(key, value, modRevision);
        }

        /** After a second reading: keys that are gone meanwhile. */
        private void dropUnseen() {
            for (String key : List.copyOf(modRevisions.keySet())) {
                long modRevision = modRevisions.getLong(key);
                if (modRevision > 0 && modRevision <= firstPageRevision && !seen.containsKey(key)) {
                    apply(key, null, firstPageRevision);
                }
            }
        }
    }

    private void watch() {
        store.watch(prefix, revision, loaded ? WATCH_TIMEOUT : Duration.ZERO, result -> {
            if (result.outcome() == StoreOutcome.REJECTED) {
                // The store no longer has the changes since our revision.
                loaded = false;
                start();
                return;
            }
            if (!result.ok()) {
                loop.after(FAILED_CALL_RETRY, this::watch);
                return;
            }
            try {
                applyEvents(result);
                loop.after(watchInterval(), this::watch);
            } catch (MalformedMessageException e) {
                LOG.warn("cannot read watch events, retrying: prefix={} error={}", prefix, e.getMessage());
                loop.after(MALFORMED_RESPONSE_RETRY, this::watch);
            }
        });
    }

    private void applyEvents(StoreResult result) throws MalformedMessageException {
        boolean anyChange = result.visitEvents(this::apply) > 0;
        revision = Math.max(revision, result.revision());
        forgetTombstones();
        if (!loaded) {
            // Pages are read one after the other, so what they show together may never have been: only after the first
            // watch has told what changed meanwhile is the copy one that once was true.
            loaded = true;
            listener.loaded();
            anyChange = true;
        }
        if (anyChange) {
            listener.changesApplied();
        }
    }

    /** A watch returns with each change, and each opening is a request: changes are gathered for as long as it takes. */
    private Duration watchInterval() {
        double interval = 1000 / (WATCH_SHARE * store.evenShareOfRequests());
        return Duration.ofMillis(
                (long) Math.max(MIN_WATCH_INTERVAL_MILLIS, Math.min(MAX_WATCH_INTERVAL_MILLIS, interval)));
    }

    private void forgetTombstones() {
        ObjectIterator<Object2LongMap.Entry<String>> entries =
                modRevisions.object2LongEntrySet().iterator();
        while (entries.hasNext()) {
            long modRevision = entries.next().getLongValue();
            if (modRevision < 0 && -modRevision <= revision) {
                entries.remove();
            }
        }
    }
}
