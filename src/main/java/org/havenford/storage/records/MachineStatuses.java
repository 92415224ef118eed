package org.havenford.storage.records;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
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
 * The status of some machines of an owner, under one key: hints for the other controllers and for a successor. No
 * claim, release or return rests on it alone.
 */
public record MachineStatuses(Instant at, SortedMap<String, Status> machines) {
    // Stored field names; versions in production read and write them, so they must not change.
    private static final String REPORTED_AT = "at";
    private static final String IMAGES = "i";
    private static final String MACHINES = "m";

    /** Most machines under one key, so that it stays within the value limit. */
    public static final int MAX_MACHINES = 60;

    /** Most images that are named of one machine. */
    public static final int MAX_IMAGES = 12;

    /** Last known condition of one machine and the images in its cache. */
    public record Status(Condition condition, List<String> images) {}

    /** Names fewer images where they would not fit: a hint that is shorter is still true. */
    public JsonObject toJson(int valueBytes) {
        for (int images = MAX_IMAGES; images > 0; images--) {
            JsonObject json = toJsonWith(images);
            if (json.toString().length() <= valueBytes) {
                return json;
            }
        }
        return toJsonWith(0);
    }

    private JsonObject toJsonWith(int maxImages) {
        JsonObject json = new JsonObject();
        json.addProperty(REPORTED_AT, at.toEpochMilli());
        List<String> names = new ArrayList<>();
        JsonObject all = new JsonObject();
        machines.forEach((machine, status) -> {
            JsonArray values = new JsonArray();
            values.add(status.condition.name().toLowerCase(Locale.ROOT));
            for (String image : status.images.subList(0, Math.min(maxImages, status.images.size()))) {
                int index = names.indexOf(image);
                if (index < 0) {
                    index = names.size();
                    names.add(image);
                }
                values.add(index);
            }
            all.add(machine, values);
        });
        JsonArray images = new JsonArray();
        names.forEach(images::add);
        json.add(IMAGES, images);
        json.add(MACHINES, all);
        return json;
    }

    /** Reads a stored value. */
    public static MachineStatuses parse(JsonObject json) throws MalformedMessageException {
        List<String> names = Json.texts(json, IMAGES);
        TreeMap<String, Status> all = new TreeMap<>();
        try {
            for (Map.Entry<String, JsonElement> entry :
                    Json.child(json, MACHINES).entrySet()) {
                all.put(entry.getKey(), parseStatus(entry.getValue().getAsJsonArray(), names));
            }
        } catch (IllegalStateException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new MalformedMessageException(MACHINES + " is not a map of conditions and indices of images");
        }
        return new MachineStatuses(Instant.ofEpochMilli(Json.count(json, REPORTED_AT)), all);
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
