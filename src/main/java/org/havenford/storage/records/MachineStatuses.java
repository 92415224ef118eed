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
import org.havenford.storage.records.MachineRecord.Condition;

/**
 * The status of some machines of an owner, under one key: hints for the other controllers and for a successor. No
 * claim, release or return rests on it alone.
 */
public record MachineStatuses(Instant at, SortedMap<String, Status> machines) {
    /** Most machines under one key, so that it stays within the value limit. */
    public static final int MAX_MACHINES = 60;

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
        json.addProperty("at", at.toEpochMilli());
        List<String> names = new ArrayList<>();
        JsonObject all = new JsonObject();
        machines.forEach((machine, s) -> {
            JsonArray a = new JsonArray();
            a.add(s.condition.name().toLowerCase(Locale.ROOT));
            for (String image : s.images.subList(0, Math.min(maxImages, s.images.size()))) {
                int i = names.indexOf(image);
                if (i < 0) {
                    i = names.size();
                    names.add(image);
                }
                a.add(i);
            }
            all.add(machine, a);
        });
        JsonArray images = new JsonArray();
        names.forEach(images::add);
        json.add("i", images);
        json.add("m", all);
        return json;
    }

    /** Reads a stored value. */
    public static MachineStatuses parse(JsonObject json) throws Json.BadMessage {
        List<String> names = Json.texts(json, "i");
        TreeMap<String, Status> all = new TreeMap<>();
        try {
            for (Map.Entry<String, JsonElement> e : Json.child(json, "m").entrySet()) {
                JsonArray a = e.getValue().getAsJsonArray();
                List<String> images = new ArrayList<>();
                for (int i = 1; i < a.size(); i++) {
                    images.add(names.get(a.get(i).getAsInt()));
                }
                all.put(
                        e.getKey(),
                        new Status(Condition.valueOf(a.get(0).getAsString().toUpperCase(Locale.ROOT)), images));
            }
        } catch (IllegalStateException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new Json.BadMessage("what was heard of machines can't be read");
        }
        return new MachineStatuses(Instant.ofEpochMilli(Json.count(json, "at")), all);
    }
}
