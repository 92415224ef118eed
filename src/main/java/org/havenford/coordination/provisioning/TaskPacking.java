package org.havenford.coordination.provisioning;

import org.havenford.coordination.placement.ImagePullTime;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;

/** How many tasks of a job fit on a machine, and what one task costs there. */
final class TaskPacking {
    /** Rounding errors of the division are not to cost a task. */
    private static final double ROUNDING_ERROR = 1e-9;

    private TaskPacking() {}

    /** Tasks of a job that fit on one empty machine of a type. */
    static int tasksPerMachine(JobSpec spec, MachineType type) {
        double tasks = type.cpus() / spec.cpus();
        if (spec.gpus() > 0) {
            tasks = Math.min(tasks, type.gpus() / spec.gpus());
        }
        if (spec.memGb() > 0) {
            tasks = Math.min(tasks, type.memGb() / spec.memGb());
        }
        return (int) Math.floor(tasks + ROUNDING_ERROR);
    }

    /** Price of one task: its share of the machine while it pulls its image and runs. */
    static double costPerTask(JobSpec spec, MachineType type, boolean spot) {
        double seconds = spec.estimatedDuration().toMillis() / 1e3 + ImagePullTime.seconds(spec, type);
        return type.hourly(spot) / tasksPerMachine(spec, type) * seconds;
    }
}
