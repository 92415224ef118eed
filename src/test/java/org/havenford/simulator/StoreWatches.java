package org.havenford.simulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.havenford.transport.HttpCalls.Reply;

/** The change log of the simulated state service, and the watches (long polls) that wait for new entries. */
final class StoreWatches {
    private static final int DEFAULT_KEPT_CHANGES = 10_000;

    /** One change of a key; the value is null if the key was deleted. */
    private record Change(long revision, String key, JsonElement value) {
        JsonObject json() {
            JsonObject json = new JsonObject();
            json.addProperty(value == null ? "delete" : "set", key);
            if (value != null) {
                json.add("v", value);
            }
            json.addProperty("stamp", revision);
            return json;
        }
    }

    /** A request for the changes of all keys with a prefix after a revision. */
    record Watch(String prefix, long since, Consumer<Reply> answer) {}

    private final ClusterSimulator simulator;
    private final BooleanSupplier outage;
    private final LongSupplier revision;
    private final List<Change> changes = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    /** The revision of the last change that is no longer kept. */
    private long compactedRevision;
    /** How many changes the service keeps: a watch that begins before them is answered 410. */
    int keptChanges = DEFAULT_KEPT_CHANGES;
    /** Watches that were answered 410. */
    int rejectedTooOld;

    /**
     * Creates an empty change log.
     *
     * @param outage whether the service is unavailable at the moment
     * @param revision the current revision of the service
     */
    StoreWatches(ClusterSimulator simulator, BooleanSupplier outage, LongSupplier revision) {
        this.simulator = simulator;
        this.outage = outage;
        this.revision = revision;
    }

    /** Records that a key was set at the current revision. Watches are answered only by {@link #notifyWatches()}. */
    void recordSet(String key, JsonElement value) {
        changes.add(new Change(revision.getAsLong(), key, value));
    }

    /** Records that a key was deleted at the current revision. */
    void recordDelete(String key) {
        changes.add(new Change(revision.getAsLong(), key, null));
    }

    /** Answers a watch as soon as there are changes for it, and without any when {@code blockMillis} have passed. */
    void open(Watch watch, long blockMillis) {
        if (answer(watch, blockMillis == 0 && !outage.getAsBoolean())) {
            return;
        }
        watches.add(watch);
        simulator.after(Duration.ofMillis(Math.max(1, blockMillis)), () -> {
            if (!outage.getAsBoolean() && watches.remove(watch)) {
                answer(watch, true);
            }
        });
    }

    /** Answers all watches for which there are changes. */
    void notifyWatches() {
        watches.removeIf(watch -> answer(watch, false));
    }

    /** Answers a watch if there are changes for it, or in any case if {@code answerEmpty}; returns whether it did. */
    private boolean answer(Watch watch, boolean answerEmpty) {
        if (outage.getAsBoolean()) {
            return false;
        }
        compact();
        if (watch.since < compactedRevision) {
            rejectedTooOld++;
            watch.answer.accept(new Reply(410, "{\"error\":\"too old\"}"));
            return true;
        }
        JsonArray log = changesFor(watch);
        if (log.isEmpty() && !answerEmpty) {
            return false;
        }
        JsonObject json = new JsonObject();
        json.addProperty("edition", revision.getAsLong());
        json.add("log", log);
        watch.answer.accept(new Reply(200, json.toString()));
        return true;
    }

    private void compact() {
        while (changes.size() > keptChanges) {
            compactedRevision = changes.remove(0).revision;
        }
    }

    private JsonArray changesFor(Watch watch) {
        int from = changes.size();
        while (from > 0 && changes.get(from - 1).revision > watch.since) {
            from--;
        }
        JsonArray log = new JsonArray();
        for (Change change : changes.subList(from, changes.size())) {
            if (change.key.startsWith(watch.prefix)) {
                log.add(change.json());
            }
        }
        return log;
    }
}
