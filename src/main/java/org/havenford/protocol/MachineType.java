package org.havenford.protocol;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A type of machine that the cloud rents out. */
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

    /** Reads the cloud's answer, or its stored copy. */
    public static List<MachineType> parseAll(JsonObject json) throws Json.BadMessage {
        List<MachineType> out = new ArrayList<>();
        for (JsonObject t : Json.objects(json, "rigs")) {
            out.add(new MachineType(
                    Json.text(t, "name"),
                    Json.amount(t, "vcpus"),
                    Json.amountOr(t, "cards", 0),
                    Json.amount(t, "memGb"),
                    Json.amountOr(t, "localGb", 0),
                    Json.amountOr(t, "fetchGbPerS", 0.1),
                    Json.amountOr(t, "hourly", 0),
                    Json.amountOr(t, "spotPrice", 0),
                    Json.has(t, "bootS") ? Json.seconds(t, "bootS") : Duration.ofSeconds(60),
                    List.copyOf(Json.texts(t, "halls"))));
        }
        return out;
    }

    /** The stored value, in the cloud's own form. */
    public static JsonObject toJson(Iterable<MachineType> types) {
        JsonArray rigs = new JsonArray();
        for (MachineType type : types) {
            JsonObject json = new JsonObject();
            json.addProperty("name", type.name);
            json.addProperty("vcpus", type.cpus);
            json.addProperty("cards", type.gpus);
            json.addProperty("memGb", type.memGb);
            json.addProperty("localGb", type.cacheGb);
            json.addProperty("fetchGbPerS", type.imagePullGbPerSecond);
            json.addProperty("hourly", type.price);
            json.addProperty("spotPrice", type.spotPrice);
            json.addProperty("bootS", type.bootTime.toMillis() / 1e3);
            JsonArray halls = new JsonArray();
            type.zones.forEach(halls::add);
            json.add("halls", halls);
            rigs.add(json);
        }
        JsonObject out = new JsonObject();
        out.add("rigs", rigs);
        return out;
    }

    /** Price of an hour. */
    public double hourly(boolean spot) {
        return spot ? spotPrice : price;
    }
}
