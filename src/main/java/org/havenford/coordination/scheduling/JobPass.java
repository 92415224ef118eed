package org.havenford.coordination.scheduling;

import org.havenford.coordination.placement.TaskZones;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.records.Job;

/**
 * One pass of a planning round over one job.
 *
 * @param job the job whose pending tasks are placed
 * @param priority the job's priority, its own or inherited
 * @param round the round that the pass belongs to
 * @param machineFilter which machines the pass considers
 * @param zones zones of the job's claimed and placed tasks; updated as the pass places tasks
 * @param requiredZone the zone in which all tasks of the pass must start, or null for any zone
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

    /** Whether tasks of the pass may start in a zone. */
    boolean mayUseZone(String zone) {
        return requiredZone == null || requiredZone.equals(zone);
    }
}
