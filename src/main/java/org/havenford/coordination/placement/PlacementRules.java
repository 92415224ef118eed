package org.havenford.coordination.placement;

import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;

/**
 * The one place that says whether a task of a job may start on a machine, given where the job's other tasks are. The
 * planner, preemption, the provisioner, submissions and claims all ask here.
 */
public final class PlacementRules {
    /** The answer: allowed, or the first constraint of the job that the start would break. */
    public enum Verdict {
        ALLOWED,
        /** The task does not fit an empty machine of this type. */
        TOO_SMALL,
        /** The job names machine types, and this is none of them. */
        WRONG_TYPE,
        /** The job names another zone. */
        WRONG_ZONE,
        /** The job may not use spot machines. */
        SPOT,
        /** All tasks must be in one zone, and others are, or may be, in another. */
        NOT_TOGETHER,
        /** Half of the job's tasks are, or may be, in this zone already. */
        NOT_APART;

        /** Whether the task may start. */
        public boolean allowed() {
            return this == ALLOWED;
        }
    }

    private PlacementRules() {}

    /** What the job says of machines, whatever its other tasks do. */
    public static Verdict checkMachine(JobSpec spec, MachineType type, String zone, boolean spot) {
        if (spec.types() != null && !spec.types().contains(type.name())) {
            return Verdict.WRONG_TYPE;
        }
        if (spec.zone() != null && !spec.zone().equals(zone)) {
            return Verdict.WRONG_ZONE;
        }
        if (spot && !spec.spot()) {
            return Verdict.SPOT;
        }
        return spec.fits(type) ? Verdict.ALLOWED : Verdict.TOO_SMALL;
    }

    /** What the job says of zones, given its other tasks. */
    public static Verdict checkZone(JobSpec spec, String zone, TaskZones others) {
        if (spec.together() && !others.allIn(zone)) {
            return Verdict.NOT_TOGETHER;
        }
        return spec.apart() && others.maxTasksIn(zone) >= maxTasksInOneZone(spec) ? Verdict.NOT_APART : Verdict.ALLOWED;
    }

    /** Whether one more task may start on a machine. */
    public static Verdict checkTask(JobSpec spec, MachineType type, String zone, boolean spot, TaskZones others) {
        Verdict machine = checkMachine(spec, type, zone, spot);
        return machine.allowed() ? checkZone(spec, zone, others) : machine;
    }

    /** Whether it matters to a job where its other tasks are. */
    public static boolean dependsOnOtherTasks(JobSpec spec) {
        return spec.together() || spec.apart();
    }

    /** How many tasks of a job that must stay apart one zone may hold. */
    static int maxTasksInOneZone(JobSpec spec) {
        return (spec.taskCount() + 1) / 2;
    }
}
