package org.havenford.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.coordination.placement.TaskZones;
import org.havenford.protocol.MachineType;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.MachineRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks planned placements again before they are claimed, so that a placement that violates a constraint of its job is
 * never claimed. Such a placement means that there is a bug elsewhere, so it is logged as an error.
 */
final class PlacementGuard {
    private static final Logger LOG = LoggerFactory.getLogger(PlacementGuard.class);

    private PlacementGuard() {}

    /** Returns the placements of one job that meet its constraints, given its claims and the placements before them. */
    static List<Placement> permitted(Job job, List<Placement> planned, ClusterState clusterState) {
        TaskZones zones = PlacementRules.dependsOnOtherTasks(job.spec())
                ? TaskZones.ofClaims(job, clusterState)
                : new TaskZones();
        List<Placement> permitted = new ArrayList<>(planned.size());
        for (Placement placement : planned) {
            MachineRecord machine = clusterState.machine(placement.machine());
            MachineType type = machine == null ? null : clusterState.types().get(machine.type());
            if (type == null) {
                // The machine, or its type, has been removed since the plan was made.
                continue;
            }
            PlacementRules.Verdict verdict =
                    PlacementRules.checkTask(job.spec(), type, machine.zone(), machine.spot(), zones);
            if (verdict.allowed()) {
                zones.add(machine.zone());
                permitted.add(placement);
            } else {
                LOG.error(
                        "planned placement violates a constraint of its job: task={} machine={}"
                                + " machineType={} zone={} spot={} violation={} tasksByZone={}",
                        placement.task(),
                        machine.name(),
                        machine.type(),
                        machine.zone(),
                        machine.spot(),
                        verdict,
                        zones);
            }
        }
        return permitted;
    }
}
