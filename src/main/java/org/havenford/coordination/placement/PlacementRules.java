package org.havenford.coordination.placement;

import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;

/**
 * Decides whether a task of a job may start on a machine, given the zones of the job's other tasks. The planner,
 * preemption, provisioning, submissions and claims all use these rules, so that they agree.
 */
public final class PlacementRules {
    /** Result of a check: allowed, or the first constraint of the job that the start would violate. */
    public enum Verdict {
        ALLOWED,
        /** The task does not fit an empty machine of this type. */
        TOO_SMALL,
        /** The job is restricted to machine types that do not include this one. */
        WRONG_TYPE,
        /** The job is restricted to another zone. */
        WRONG_ZONE,
        /** The job may not use spot machines. */
        SPOT,
        /** All tasks of the job must be in one zone, and others are, or may be, in another zone. */
        NOT_TOGETHER,
        /** At least half of the job's tasks are, or may be, in this zone already. */
        NOT_APART;

        /** Whether the task may start. */
        public boolean allowed() {
            return this == ALLOWED;
        }
    }

    private PlacementRules() {}

    /**
     * Checks the constraints that do not depend on the job's other tasks: machine type, zone, pricing model and size.
     */
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

    /** Checks the together and apart constraints of a job for a zone, given the zones of its other tasks. */
    public static Verdict checkZone(JobSpec spec, String zone, TaskZones others) {
        if (spec.together() && !others.allIn(zone)) {
            return Verdict.NOT_TOGETHER;
        }
        return spec.apart() && others.maxTasksIn(zone) >= maxTasksInOneZone(spec) ? Verdict.NOT_APART : Verdict.ALLOWED;
    }

    /** Checks all constraints of a job for one more task on a machine. */
    public static Verdict checkTask(JobSpec spec, MachineType type, String zone, boolean spot, TaskZones others) {
        Verdict machine = checkMachine(spec, type, zone, spot);
        return machine.allowed() ? checkZone(spec, zone, others) : machine;
    }

    /** Whether the job has constraints that depend on the zones of its other tasks. */
    public static boolean dependsOnOtherTasks(JobSpec spec) {
        return spec.together() || spec.apart();
    }

    /** Returns how many tasks of a job that must stay apart may be in one zone: half of them, rounded up. */
    static int maxTasksInOneZone(JobSpec spec) {
        return (spec.taskCount() + 1) / 2;
    }
}
