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
        String jobClass,
        String team,
        Priority priority,
        int taskCount,
        double cpus,
        double gpus,
        double memGb,
        Set<String> types,
        String zone,
        boolean together,
        boolean apart,
        boolean spot,
        String image,
        double imageGb,
        Duration estimatedDuration,
        Duration checkpointInterval,
        Duration checkpointDuration,
        Duration deadline,
        Set<String> dependencies) {

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
    public static JobSpec parse(JsonObject json) throws Json.BadMessage {
        String id = Json.text(json, "nameId");
        if (!validId(id)) {
            throw new Json.BadMessage("nameId is not of the form j-000412");
        }
        if (!Json.text(json, "shape").equals("batch")) {
            throw new Json.BadMessage("shape is unknown");
        }
        long tasks = Json.count(json, "shots");
        if (tasks < 1 || tasks > MAX_TASKS) {
            throw new Json.BadMessage("shots is out of range");
        }
        Set<String> types = null;
        if (Json.has(json, "rigs")) {
            types = new TreeSet<>(Json.texts(json, "rigs"));
        }
        return new JobSpec(
                id,
                name(json, "lineup"),
                name(json, "crew"),
                Priority.parse(Json.text(json, "urgency")),
                (int) tasks,
                positive(json, "vcpus"),
                Json.amount(json, "cards"),
                Json.amount(json, "memGb"),
                types,
                Json.has(json, "hall") ? name(json, "hall") : null,
                flag(json, "together"),
                flag(json, "apart"),
                flag(json, "borrowed"),
                name(json, "reel"),
                Json.amount(json, "imageGb"),
                Json.seconds(json, "guessS"),
                Json.seconds(json, "keyframeS"),
                Json.seconds(json, "flushS"),
                Json.has(json, "airtimeS") ? Json.seconds(json, "airtimeS") : null,
                dependencies(json, id));
    }

    /** The jobs that must be done before any task starts; a name that comes twice counts once. */
    private static Set<String> dependencies(JsonObject json, String id) throws Json.BadMessage {
        if (!Json.has(json, "awaits")) {
            return Set.of();
        }
        Set<String> all = new TreeSet<>(Json.texts(json, "awaits"));
        for (String a : all) {
            if (!validId(a) || a.equals(id)) {
                throw new Json.BadMessage("awaits must name other jobs");
            }
        }
        return Collections.unmodifiableSet(all);
    }

    private static boolean flag(JsonObject json, String field) throws Json.BadMessage {
        if (!Json.has(json, field)) {
            throw new Json.BadMessage(field + " is missing");
        }
        return Json.flagOr(json, field, false);
    }

    private static String name(JsonObject json, String field) throws Json.BadMessage {
        String s = Json.text(json, field);
        if (s.length() > MAX_NAME) {
            throw new Json.BadMessage(field + " is too long");
        }
        return s;
    }

    private static double positive(JsonObject json, String field) throws Json.BadMessage {
        double d = Json.amount(json, field);
        if (d <= 0) {
            throw new Json.BadMessage(field + " must be more than 0");
        }
        return d;
    }

    /** Keeps of the allowed types those that exist, so that a stored job stays small. */
    public JobSpec withTypes(Set<String> kept) {
        return new JobSpec(
                id,
                jobClass,
                team,
                priority,
                taskCount,
                cpus,
                gpus,
                memGb,
                kept,
                zone,
                together,
                apart,
                spot,
                image,
                imageGb,
                estimatedDuration,
                checkpointInterval,
                checkpointDuration,
                deadline,
                dependencies);
    }

    /** The description as it is stored. */
    public JsonObject toJson() {
        JsonObject json = new JsonObject();
        json.addProperty("nameId", id);
        json.addProperty("lineup", jobClass);
        json.addProperty("crew", team);
        json.addProperty("shape", "batch");
        json.addProperty("urgency", priority.wire());
        json.addProperty("shots", taskCount);
        json.addProperty("vcpus", cpus);
        json.addProperty("cards", gpus);
        json.addProperty("memGb", memGb);
        if (types != null) {
            JsonArray a = new JsonArray();
            types.forEach(a::add);
            json.add("rigs", a);
        }
        if (zone != null) {
            json.addProperty("hall", zone);
        }
        json.addProperty("together", together);
        json.addProperty("apart", apart);
        json.addProperty("borrowed", spot);
        json.addProperty("reel", image);
        json.addProperty("imageGb", imageGb);
        json.addProperty("guessS", seconds(estimatedDuration));
        json.addProperty("keyframeS", seconds(checkpointInterval));
        json.addProperty("flushS", seconds(checkpointDuration));
        if (deadline != null) {
            json.addProperty("airtimeS", seconds(deadline));
        }
        if (!dependencies.isEmpty()) {
            JsonArray a = new JsonArray();
            dependencies.forEach(a::add);
            json.add("awaits", a);
        }
        return json;
    }

    private static double seconds(Duration d) {
        return d.toNanos() / 1e9;
    }

    /** Whether a task fits an empty machine. */
    public boolean fits(MachineType type) {
        return cpus <= type.cpus() && gpus <= type.gpus() && memGb <= type.memGb();
    }
}
