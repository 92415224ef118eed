package org.havenford.protocol;

import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.Set;
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

    /** Priority of a job, the highest first. */
    public enum Priority {
        PRODUCTION,
        URGENT,
        NORMAL,
        LOW
    }

    /** Whether an id has the form that users' ids have. */
    public static boolean validId(String id) {
        return ID.matcher(id).matches();
    }

    /** Reads a submission, or the description in a stored header. */
    public static JobSpec parse(JsonObject json) throws MalformedMessageException {
        return JobSpecCodec.read(json);
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

    /** The description as it is stored, which is the form of a submission. */
    public JsonObject toJson() {
        return JobSpecCodec.write(this);
    }

    /** Whether a task fits an empty machine. */
    public boolean fits(MachineType type) {
        return cpus <= type.cpus() && gpus <= type.gpus() && memGb <= type.memGb();
    }
}
