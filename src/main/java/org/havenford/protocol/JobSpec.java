package org.havenford.protocol;

import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.Set;
import java.util.regex.Pattern;

/** Specification of a job, as submitted by its user. */
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

    private static final Pattern ID_PATTERN = Pattern.compile("j-[0-9]{1,40}");

    /** Priority of a job, from highest to lowest. */
    public enum Priority {
        PRODUCTION,
        URGENT,
        NORMAL,
        LOW
    }

    /** Returns whether a text is a valid job id. */
    public static boolean isValidId(String id) {
        return ID_PATTERN.matcher(id).matches();
    }

    /** Parses a submission, or the specification in a stored job header. */
    public static JobSpec parse(JsonObject json) throws MalformedMessageException {
        return JobSpecCodec.read(json);
    }

    /** Returns a copy with other allowed machine types. Dropping types that do not exist keeps a stored job small. */
    public JobSpec withTypes(Set<String> newTypes) {
        return new JobSpec(
                id,
                jobClass,
                team,
                priority,
                taskCount,
                cpus,
                gpus,
                memGb,
                newTypes,
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

    /** Returns the stored form of this specification, which is the same as that of a submission. */
    public JsonObject toJson() {
        return JobSpecCodec.write(this);
    }

    /** Returns whether a task of this job fits an empty machine of a type. */
    public boolean fits(MachineType type) {
        return cpus <= type.cpus() && gpus <= type.gpus() && memGb <= type.memGb();
    }
}
