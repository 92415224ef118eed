package org.havenford.coordination.scheduling;

import org.havenford.coordination.placement.TaskZones;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.records.Job;

/**
 * One pass of a planning round over one job.
 *
 * @param job the job whose tasks are placed
 * @param priority its priority, its own or inherited
 * @param round the round that the pass belongs to
 * @param machineFilter machines that the pass considers
 * @param zones zones of the job's other tasks; kept up to date while tasks are placed
 * @param requiredZone zone that all tasks have to start in; null where any zone will do
 */
record JobPass(
        Job job,
        JobSpec.Priority priority,
        PlanningRound round,
        MachineFilter machineFilter,
        TaskZones zones,
        String requiredZone) {
    JobSpec spec() {
        return job.spec();
    }

    /** Whether a zone is one in which tasks of the pass may start. */
    boolean mayUseZone(String zone) {
        return requiredZone == null || requiredZone.equals(zone);
    }
}
