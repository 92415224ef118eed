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
        double cards,
        double memGb,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        Duration boot,
        List<String> zones) {

    /** Reads the cloud's answer, or its stored copy. */
    public static List<MachineType> parseAll(JsonObject o) throws Json.BadMessage {
        List<MachineType> out = new ArrayList<>();
        for (JsonObject t : Json.objects(o, "rigs")) {
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
        for (MachineType t : types) {
            JsonObject o = new JsonObject();
            o.addProperty("name", t.name);
            o.addProperty("vcpus", t.cpus);
            o.addProperty("cards", t.cards);
            o.addProperty("memGb", t.memGb);
            o.addProperty("localGb", t.cacheGb);
            o.addProperty("fetchGbPerS", t.fetchGbPerS);
            o.addProperty("hourly", t.price);
            o.addProperty("spotPrice", t.spotPrice);
            o.addProperty("bootS", t.boot.toMillis() / 1e3);
            JsonArray halls = new JsonArray();
            t.zones.forEach(halls::add);
            o.add("halls", halls);
            rigs.add(o);
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
