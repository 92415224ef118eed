package org.havenford.storage.records;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.records.MachineRecord.Condition;

/**
 * The statuses of some of an owner's machines, stored under one key. They are hints for the other controllers and for
 * the next owner: no claim, release or return depends on them alone.
 *
 * @param at when the owner reported the statuses, by its time of day
 */
public record MachineStatuses(Instant at, SortedMap<String, Status> machines) {
    // Names of stored fields. Versions in production read and write them, so they must not change.
    private static final String REPORTED_AT = "at";
    private static final String IMAGES = "i";
    private static final String MACHINES = "m";

    /** Maximum number of machines under one key, so that its value stays within the limit. */
    public static final int MAX_MACHINES = 60;

    /** Maximum number of images listed for one machine. */
    public static final int MAX_IMAGES = 12;

    /** The last known condition of a machine and the images in its cache. */
    public record Status(Condition condition, List<String> images) {}

    /**
     * Returns the value to store, with fewer images per machine if it would exceed {@code valueBytes}: they are only
     * hints.
     */
    public JsonObject toJson(int valueBytes) {
        for (int images = MAX_IMAGES; images > 0; images--) {
            JsonObject json = toJsonWith(images);
            if (json.toString().getBytes(StandardCharsets.UTF_8).length <= valueBytes) {
                return json;
            }
        }
        return toJsonWith(0);
    }

    private JsonObject toJsonWith(int maxImages) {
        JsonObject json = new JsonObject();
        json.addProperty(REPORTED_AT, at.toEpochMilli());
        List<String> imageNames = new ArrayList<>();
        JsonObject statuses = new JsonObject();
        machines.forEach((machine, status) -> {
            JsonArray values = new JsonArray();
            values.add(status.condition.name().toLowerCase(Locale.ROOT));
            for (String image : status.images.subList(0, Math.min(maxImages, status.images.size()))) {
                int index = imageNames.indexOf(image);
                if (index < 0) {
                    index = imageNames.size();
                    imageNames.add(image);
                }
                values.add(index);
            }
            statuses.add(machine, values);
        });
        JsonArray images = new JsonArray();
        imageNames.forEach(images::add);
        json.add(IMAGES, images);
        json.add(MACHINES, statuses);
        return json;
    }

    /** Parses a stored value. */
    public static MachineStatuses parse(JsonObject json) throws MalformedMessageException {
        List<String> imageNames = Json.texts(json, IMAGES);
        TreeMap<String, Status> statuses = new TreeMap<>();
        try {
            for (Map.Entry<String, JsonElement> entry :
                    Json.child(json, MACHINES).entrySet()) {
                statuses.put(entry.getKey(), parseStatus(entry.getValue().getAsJsonArray(), imageNames));
            }
        } catch (IllegalStateException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new MalformedMessageException(MACHINES + " must map each machine to a condition and indices into "
                    + IMAGES + ": " + e.getMessage());
        }
        return new MachineStatuses(Instant.ofEpochMilli(Json.count(json, REPORTED_AT)), statuses);
    }

    private static Status parseStatus(JsonArray values, List<String> imageNames) {
        List<String> images = new ArrayList<>();
        for (int i = 1; i < values.size(); i++) {
            images.add(imageNames.get(values.get(i).getAsInt()));
        }
        String condition = values.get(0).getAsString().toUpperCase(Locale.ROOT);
        return new Status(Condition.valueOf(condition), images);
    }
}
