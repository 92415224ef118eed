package org.havenford.protocol;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/** A job as its user described it. */
public record JobSpec(
        String id,
        String lineup,
        String team,
        Priority priority,
        int tasks,
        double cpus,
        double cards,
        double memGb,
        Set<String> types,
        String zone,
        boolean together,
        boolean apart,
        boolean spot,
        String image,
        double imageGb,
        Duration guess,
        Duration checkpoint,
        Duration save,
        Duration deadline,
        Set<String> awaits) {

    private static final Pattern ID = Pattern.compile("j-[0-9]{1,40}");
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_NAME = 200;

    /** Priority of a job, the highest first. */
    public enum Priority {
        PRODUCTION,
        URGENT,
        NORMAL,
        LOW;

        static Priority parse(String s) throws Json.BadMessage {
            for (Priority p : values()) {
                if (p.wire().equals(s)) {
                    return p;
                }
            }
            throw new Json.BadMessage("urgency is unknown");
        }

        String wire() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** Whether an id has the form that users' ids have. */
    public static boolean validId(String id) {
        return ID.matcher(id).matches();
    }

    /** Reads a submission, or the description in a stored header. */
    public static JobSpec parse(JsonObject o) throws Json.BadMessage {
        String id = Json.text(o, "nameId");
        if (!validId(id)) {
            throw new Json.BadMessage("nameId is not of the form j-000412");
        }
        if (!Json.text(o, "shape").equals("batch")) {
            throw new Json.BadMessage("shape is unknown");
        }
        long tasks = Json.count(o, "shots");
        if (tasks < 1 || tasks > MAX_TASKS) {
            throw new Json.BadMessage("shots is out of range");
        }
        Set<String> types = null;
        if (Json.has(o, "rigs")) {
            types = new TreeSet<>(Json.texts(o, "rigs"));
        }
        return new JobSpec(
                id,
                name(o, "lineup"),
                name(o, "crew"),
                Priority.parse(Json.text(o, "urgency")),
                (int) tasks,
                positive(o, "vcpus"),
                Json.amount(o, "cards"),
                Json.amount(o, "memGb"),
                types,
                Json.has(o, "hall") ? name(o, "hall") : null,
                flag(o, "together"),
                flag(o, "apart"),
                flag(o, "borrowed"),
                name(o, "reel"),
                Json.amount(o, "imageGb"),
                Json.seconds(o, "guessS"),
                Json.seconds(o, "keyframeS"),
                Json.seconds(o, "flushS"),
                Json.has(o, "airtimeS") ? Json.seconds(o, "airtimeS") : null,
                awaits(o, id));
    }

    /** The jobs that must be done before any task starts; a name that comes twice counts once. */
    private static Set<String> awaits(JsonObject o, String id) throws Json.BadMessage {
        if (!Json.has(o, "awaits")) {
            return Set.of();
        }
        Set<String> all = new TreeSet<>(Json.texts(o, "awaits"));
        for (String a : all) {
            if (!validId(a) || a.equals(id)) {
                throw new Json.BadMessage("awaits must name other jobs");
            }
        }
        return Collections.unmodifiableSet(all);
    }

    private static boolean flag(JsonObject o, String field) throws Json.BadMessage {
        if (!Json.has(o, field)) {
            throw new Json.BadMessage(field + " is missing");
        }
        return Json.flagOr(o, field, false);
    }

    private static String name(JsonObject o, String field) throws Json.BadMessage {
        String s = Json.text(o, field);
        if (s.length() > MAX_NAME) {
            throw new Json.BadMessage(field + " is too long");
        }
        return s;
    }

    private static double positive(JsonObject o, String field) throws Json.BadMessage {
        double d = Json.amount(o, field);
        if (d <= 0) {
            throw new Json.BadMessage(field + " must be more than 0");
        }
        return d;
    }

    /** Keeps of the allowed types those that exist, so that a stored job stays small. */
    public JobSpec withTypes(Set<String> kept) {
        return new JobSpec(
                id,
                lineup,
                team,
                priority,
                tasks,
                cpus,
                cards,
                memGb,
                kept,
                zone,
                together,
                apart,
                spot,
                image,
                imageGb,
                guess,
                checkpoint,
                save,
                deadline,
                awaits);
    }

    /** The description as it is stored. */
    public JsonObject toJson() {
        JsonObject o = new JsonObject();
        o.addProperty("nameId", id);
        o.addProperty("lineup", lineup);
        o.addProperty("crew", team);
        o.addProperty("shape", "batch");
        o.addProperty("urgency", priority.wire());
        o.addProperty("shots", tasks);
        o.addProperty("vcpus", cpus);
        o.addProperty("cards", cards);
        o.addProperty("memGb", memGb);
        if (types != null) {
            JsonArray a = new JsonArray();
            types.forEach(a::add);
            o.add("rigs", a);
        }
        if (zone != null) {
            o.addProperty("hall", zone);
        }
        o.addProperty("together", together);
        o.addProperty("apart", apart);
        o.addProperty("borrowed", spot);
        o.addProperty("reel", image);
        o.addProperty("imageGb", imageGb);
        o.addProperty("guessS", seconds(guess));
        o.addProperty("keyframeS", seconds(checkpoint));
        o.addProperty("flushS", seconds(save));
        if (deadline != null) {
            o.addProperty("airtimeS", seconds(deadline));
        }
        if (!awaits.isEmpty()) {
            JsonArray a = new JsonArray();
            awaits.forEach(a::add);
            o.add("awaits", a);
        }
        return o;
    }

    private static double seconds(Duration d) {
        return d.toNanos() / 1e9;
    }

    /** Whether a task fits an empty machine. */
    public boolean fits(MachineType type) {
        return cpus <= type.cpus() && cards <= type.cards() && memGb <= type.memGb();
    }
}
