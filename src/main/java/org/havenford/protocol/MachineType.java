package org.havenford.protocol;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A machine type offered by the cloud; prices are per hour. */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memGb,
        double cacheGb,
        double imagePullGbPerSecond,
        double price,
        double spotPrice,
        Duration bootTime,
        List<String> zones) {

    /** Assumed image pull rate if the cloud does not state one. */
    private static final double DEFAULT_PULL_GB_PER_SECOND = 0.1;

    /** Assumed boot time if the cloud does not state one. */
    private static final Duration DEFAULT_BOOT_TIME = Duration.ofSeconds(60);

    /** Parses the cloud's list of machine types, or its stored copy. */
    public static List<MachineType> parseAll(JsonObject json) throws MalformedMessageException {
        List<MachineType> types = new ArrayList<>();
        for (JsonObject type : Json.objects(json, "rigs")) {
            types.add(parse(type));
        }
        return types;
    }

    private static MachineType parse(JsonObject json) throws MalformedMessageException {
        return new MachineType(
                Json.text(json, "name"),
                Json.amount(json, "vcpus"),
                Json.amountOr(json, "cards", 0),
                Json.amount(json, "memGb"),
                Json.amountOr(json, "localGb", 0),
                Json.amountOr(json, "fetchGbPerS", DEFAULT_PULL_GB_PER_SECOND),
                Json.amountOr(json, "hourly", 0),
                Json.amountOr(json, "spotPrice", 0),
                Json.has(json, "bootS") ? Json.seconds(json, "bootS") : DEFAULT_BOOT_TIME,
                List.copyOf(Json.texts(json, "halls")));
    }

    /** Returns the value to store, in the cloud's format. */
    public static JsonObject toJson(Iterable<MachineType> types) {
        JsonArray all = new JsonArray();
        for (MachineType type : types) {
            all.add(type.toJson());
        }
        JsonObject json = new JsonObject();
        json.add("rigs", all);
        return json;
    }

    private JsonObject toJson() {
        JsonObject json = new JsonObject();
        json.addProperty("name", name);
        json.addProperty("vcpus", cpus);
        json.addProperty("cards", gpus);
        json.addProperty("memGb", memGb);
        json.addProperty("localGb", cacheGb);
        json.addProperty("fetchGbPerS", imagePullGbPerSecond);
        json.addProperty("hourly", price);
        json.addProperty("spotPrice", spotPrice);
        json.addProperty("bootS", bootTime.toMillis() / 1e3);
        JsonArray zoneNames = new JsonArray();
        zones.forEach(zoneNames::add);
        json.add("halls", zoneNames);
        return json;
    }

    /** Returns the price per hour, of a spot machine or of an on-demand machine. */
    public double pricePerHour(boolean spot) {
        return spot ? spotPrice : price;
    }
}
