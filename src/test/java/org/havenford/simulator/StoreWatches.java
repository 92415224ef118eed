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

/** Keeps the change log of the simulated state service and the watches, long polls that wait for new entries in it. */
final class StoreWatches {
    private static final int DEFAULT_KEPT_CHANGES = 10_000;

    /** One change of a key; {@code value} is null if the key was deleted. */
    private record Change(long revision, String key, JsonElement value) {
        JsonObject toJson() {
            JsonObject json = new JsonObject();
            json.addProperty(value == null ? "delete" : "set", key);
            if (value != null) {
                json.add("v", value);
            }
            json.addProperty("stamp", revision);
            return json;
        }
    }

    /** A request for all changes after revision {@code since} of keys with the prefix. */
    record Watch(String prefix, long since, Consumer<Reply> callback) {}

    private final ClusterSimulator simulator;
    private final BooleanSupplier isUnavailable;
    private final LongSupplier currentRevision;
    private final List<Change> changes = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    /** The revision of the newest change that was dropped from the log. */
    private long compactedRevision;
    /** The maximum number of changes in the log; a watch that starts before the oldest of them is answered with 410. */
    int maxChanges = DEFAULT_KEPT_CHANGES;
    /** Number of watches that were answered with 410. */
    int rejectedTooOld;

    /**
     * Creates an empty change log.
     *
     * @param isUnavailable returns whether the service is currently unavailable
     * @param currentRevision returns the current revision of the service
     */
    StoreWatches(ClusterSimulator simulator, BooleanSupplier isUnavailable, LongSupplier currentRevision) {
        this.simulator = simulator;
        this.isUnavailable = isUnavailable;
        this.currentRevision = currentRevision;
    }

    /** Appends a put at the current revision to the log. Watches are answered only by {@link #notifyWatches()}. */
    void recordSet(String key, JsonElement value) {
        changes.add(new Change(currentRevision.getAsLong(), key, value));
    }

    /** Appends a deletion at the current revision to the log, likewise without answering watches. */
    void recordDelete(String key) {
        changes.add(new Change(currentRevision.getAsLong(), key, null));
    }

    /**
     * Answers a watch as soon as there are changes for it, or with an empty list after {@code blockMillis}. If that time
     * ends during an outage, the watch stays open until there are changes.
     */
    void addWatch(Watch watch, long blockMillis) {
        if (answerIfReady(watch, blockMillis == 0 && !isUnavailable.getAsBoolean())) {
            return;
        }
        watches.add(watch);
        simulator.after(Duration.ofMillis(Math.max(1, blockMillis)), () -> {
            if (!isUnavailable.getAsBoolean() && watches.remove(watch)) {
                answerIfReady(watch, true);
            }
        });
    }

    /** Answers and removes all watches for which there are changes; does nothing during an outage. */
    void notifyWatches() {
        watches.removeIf(watch -> answerIfReady(watch, false));
    }

    /** Answers a watch if there are changes for it or {@code answerEmpty} is set; returns whether it was answered. */
    private boolean answerIfReady(Watch watch, boolean answerEmpty) {
        if (isUnavailable.getAsBoolean()) {
            return false;
        }
        compact();
        if (watch.since < compactedRevision) {
            rejectedTooOld++;
            watch.callback.accept(new Reply(410, "{\"error\":\"too old\"}"));
            return true;
        }
        JsonArray log = changesFor(watch);
        if (log.isEmpty() && !answerEmpty) {
            return false;
        }
        JsonObject json = new JsonObject();
        json.addProperty("edition", currentRevision.getAsLong());
        json.add("log", log);
        watch.callback.accept(new Reply(200, json.toString()));
        return true;
    }

    private void compact() {
        while (changes.size() > maxChanges) {
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
                log.add(change.toJson());
            }
        }
        return log;
    }
}
