package org.havenford.bookkeeping;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import org.havenford.protocol.Json;

/** What the store knows of a machine. */
public record MachineRecord(String name, String type, String zone, boolean spot, String endpoint, Condition condition,
        long session, Instant since, List<String> images) {

    public enum Condition {
        /** Rented, has not reported yet. */
        BOOTING,
        UP,
        /** Has not reported for a while; its tasks may be running. */
        SILENT,
        /** Takes no more tasks. */
        DRAINING,
        /** Tasks of several jobs have failed on it. */
        FAULTY,
        /** To be given back to the cloud: no claim can be made on it any more. */
        RETURNING
    }

    public MachineRecord with(Condition c, Instant at) {
        return new MachineRecord(name, type, zone, spot, endpoint, c, session, c == condition ? since : at, images);
    }

    public MachineRecord reported(String newEndpoint, long newSession, List<String> newImages) {
        return new MachineRecord(name, type, zone, spot, newEndpoint, condition, newSession, since, newImages);
    }

    public JsonObject toJson() {
        JsonObject o = new JsonObject();
        o.addProperty("t", type);
        o.addProperty("z", zone);
        o.addProperty("b", spot);
        o.addProperty("e", endpoint);
        o.addProperty("c", condition.name().toLowerCase(Locale.ROOT));
        o.addProperty("s", session);
        o.addProperty("at", since.toEpochMilli());
        JsonArray a = new JsonArray();
        images.forEach(a::add);
        o.add("i", a);
        return o;
    }

    public static MachineRecord parse(String name, JsonObject o) throws Json.BadMessage {
        return new MachineRecord(name, Json.text(o, "t"), Json.text(o, "z"), Json.flagOr(o, "b", false),
                Json.text(o, "e"), Condition.valueOf(Json.text(o, "c").toUpperCase(Locale.ROOT)), Json.count(o, "s"),
                Instant.ofEpochMilli(Json.count(o, "at")), List.copyOf(Json.texts(o, "i")));
    }
}
