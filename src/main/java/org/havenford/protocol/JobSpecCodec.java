package org.havenford.protocol;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.havenford.protocol.JobSpec.Priority;

/** JSON format of job specifications, in submissions and in stored job headers. All of its field names are declared here. */
final class JobSpecCodec {
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_TEXT_LENGTH = 200;
    private static final double NANOS_PER_SECOND = 1e9;

    private static final String ID = "nameId";
    private static final String CLASS = "lineup";
    private static final String TEAM = "crew";
    private static final String SHAPE = "shape";
    /** The only supported job shape. */
    private static final String BATCH = "batch";

    private static final String PRIORITY = "urgency";
    private static final String TASK_COUNT = "shots";
    private static final String CPUS = "vcpus";
    private static final String GPUS = "cards";
    private static final String MEMORY = "memGb";
    private static final String MACHINE_TYPES = "rigs";
    private static final String ZONE = "hall";
    private static final String TOGETHER = "together";
    private static final String APART = "apart";
    private static final String SPOT = "borrowed";
    private static final String IMAGE = "reel";
    private static final String IMAGE_SIZE = "imageGb";
    private static final String ESTIMATED_DURATION = "guessS";
    private static final String CHECKPOINT_INTERVAL = "keyframeS";
    private static final String CHECKPOINT_DURATION = "flushS";
    private static final String DEADLINE = "airtimeS";
    private static final String DEPENDENCIES = "awaits";

    private JobSpecCodec() {}

    static JobSpec read(JsonObject json) throws MalformedMessageException {
        String id = readIdAndCheckShape(json);
        int taskCount = taskCount(json);
        Set<String> types = Json.has(json, MACHINE_TYPES) ? new TreeSet<>(Json.texts(json, MACHINE_TYPES)) : null;
        return new JobSpec(
                id,
                boundedText(json, CLASS),
                boundedText(json, TEAM),
                parsePriority(Json.text(json, PRIORITY)),
                taskCount,
                Json.positive(json, CPUS),
                Json.amount(json, GPUS),
                Json.amount(json, MEMORY),
                types,
                Json.has(json, ZONE) ? boundedText(json, ZONE) : null,
                requiredFlag(json, TOGETHER),
                requiredFlag(json, APART),
                requiredFlag(json, SPOT),
                boundedText(json, IMAGE),
                Json.amount(json, IMAGE_SIZE),
                Json.seconds(json, ESTIMATED_DURATION),
                Json.seconds(json, CHECKPOINT_INTERVAL),
                Json.seconds(json, CHECKPOINT_DURATION),
                Json.has(json, DEADLINE) ? Json.seconds(json, DEADLINE) : null,
                dependencies(json, id));
    }

    private static String readIdAndCheckShape(JsonObject json) throws MalformedMessageException {
        String id = Json.text(json, ID);
        if (!JobSpec.isValidId(id)) {
            throw new MalformedMessageException("nameId is not of the form j-000412");
        }
        if (!Json.text(json, SHAPE).equals(BATCH)) {
            throw new MalformedMessageException("shape is unknown");
        }
        return id;
    }

    private static int taskCount(JsonObject json) throws MalformedMessageException {
        long count = Json.count(json, TASK_COUNT);
        if (count < 1 || count > MAX_TASKS) {
            throw new MalformedMessageException("shots is out of range");
        }
        return (int) count;
    }

    private static Priority parsePriority(String text) throws MalformedMessageException {
        for (Priority priority : Priority.values()) {
            if (wireName(priority).equals(text)) {
                return priority;
            }
        }
        throw new MalformedMessageException("urgency is unknown");
    }

    private static String wireName(Priority priority) {
        return priority.name().toLowerCase(Locale.ROOT);
    }

    /** Reads the ids of the jobs that must be done before any task starts. Duplicates are merged. */
    private static Set<String> dependencies(JsonObject json, String id) throws MalformedMessageException {
        if (!Json.has(json, DEPENDENCIES)) {
            return Set.of();
        }
        Set<String> dependencies = new TreeSet<>(Json.texts(json, DEPENDENCIES));
        for (String dependency : dependencies) {
            if (!JobSpec.isValidId(dependency) || dependency.equals(id)) {
                throw new MalformedMessageException("awaits must name other jobs");
            }
        }
        return Collections.unmodifiableSet(dependencies);
    }

    private static boolean requiredFlag(JsonObject json, String field) throws MalformedMessageException {
        if (!Json.has(json, field)) {
            throw new MalformedMessageException(field + " is missing");
        }
        return Json.flagOr(json, field, false);
    }

    private static String boundedText(JsonObject json, String field) throws MalformedMessageException {
        String text = Json.text(json, field);
        if (text.length() > MAX_TEXT_LENGTH) {
            throw new MalformedMessageException(field + " is too long");
        }
        return text;
    }

    static JsonObject write(JobSpec spec) {
        JsonObject json = new JsonObject();
        json.addProperty(ID, spec.id());
        json.addProperty(CLASS, spec.jobClass());
        json.addProperty(TEAM, spec.team());
        json.addProperty(SHAPE, BATCH);
        json.addProperty(PRIORITY, wireName(spec.priority()));
        json.addProperty(TASK_COUNT, spec.taskCount());
        json.addProperty(CPUS, spec.cpus());
        json.addProperty(GPUS, spec.gpus());
        json.addProperty(MEMORY, spec.memGb());
        if (spec.types() != null) {
            json.add(MACHINE_TYPES, array(spec.types()));
        }
        if (spec.zone() != null) {
            json.addProperty(ZONE, spec.zone());
        }
        json.addProperty(TOGETHER, spec.together());
        json.addProperty(APART, spec.apart());
        json.addProperty(SPOT, spec.spot());
        json.addProperty(IMAGE, spec.image());
        json.addProperty(IMAGE_SIZE, spec.imageGb());
        json.addProperty(ESTIMATED_DURATION, seconds(spec.estimatedDuration()));
        json.addProperty(CHECKPOINT_INTERVAL, seconds(spec.checkpointInterval()));
        json.addProperty(CHECKPOINT_DURATION, seconds(spec.checkpointDuration()));
        if (spec.deadline() != null) {
            json.addProperty(DEADLINE, seconds(spec.deadline()));
        }
        if (!spec.dependencies().isEmpty()) {
            json.add(DEPENDENCIES, array(spec.dependencies()));
        }
        return json;
    }

    private static JsonArray array(Collection<String> texts) {
        JsonArray array = new JsonArray();
        texts.forEach(array::add);
        return array;
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
