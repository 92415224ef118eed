package org.havenford.coordination.provisioning;

import org.havenford.coordination.placement.ImagePullTime;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;

/** Computes how many tasks of a job fit on a machine and what each of them costs. */
final class TaskPacking {
    /** Added before rounding down, so that a rounding error of the division does not lose a task. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private TaskPacking() {}

    /** Returns the number of tasks of a job that fit on an empty machine of a type. */
    static int tasksPerMachine(JobSpec spec, MachineType type) {
        double tasks = type.cpus() / spec.cpus();
        if (spec.gpus() > 0) {
            tasks = Math.min(tasks, type.gpus() / spec.gpus());
        }
        if (spec.memGb() > 0) {
            tasks = Math.min(tasks, type.memGb() / spec.memGb());
        }
        return (int) Math.floor(tasks + ROUNDING_TOLERANCE);
    }

    /** Returns the relative cost of one task: its share of the machine's price for the image pull and the run. */
    static double costPerTask(JobSpec spec, MachineType type, boolean spot) {
        double seconds = spec.estimatedDuration().toMillis() / 1e3 + ImagePullTime.seconds(spec, type);
        return type.pricePerHour(spot) / tasksPerMachine(spec, type) * seconds;
    }
}
