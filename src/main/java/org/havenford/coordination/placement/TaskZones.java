package org.havenford.coordination.placement;

import java.util.HashMap;
import java.util.Map;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.MachineRecord;

/**
 * Counts the tasks of a job by the zone in which they are, or may be. A claim counts until it is released, which
 * requires proof that its attempt has ended. Tasks placed in the current planning round count too. A claim on a machine
 * without a record may be in any zone.
 */
public final class TaskZones {
    private final Map<String, Integer> byZone = new HashMap<>();
    private int inUnknownZone;

    /** Counts the claims of a job by zone. */
    public static TaskZones ofClaims(Job job, ClusterState clusterState) {
        TaskZones zones = new TaskZones();
        for (Claim claim : job.claims()) {
            MachineRecord machine = clusterState.machine(claim.machine());
            if (machine == null) {
                zones.addUnknown();
            } else {
                zones.add(machine.zone());
            }
        }
        return zones;
    }

    /** Adds a task in a zone. */
    public void add(String zone) {
        byZone.merge(zone, 1, Integer::sum);
    }

    /** Adds a task in an unknown zone. */
    void addUnknown() {
        inUnknownZone++;
    }

    /** Returns an independent copy. */
    public TaskZones copy() {
        TaskZones copy = new TaskZones();
        copy.byZone.putAll(byZone);
        copy.inUnknownZone = inUnknownZone;
        return copy;
    }

    /** Whether no task is counted. */
    public boolean isEmpty() {
        return byZone.isEmpty() && inUnknownZone == 0;
    }

    /** Whether no task is, or may be, in another zone. */
    boolean allIn(String zone) {
        return inUnknownZone == 0 && (byZone.isEmpty() || (byZone.size() == 1 && byZone.containsKey(zone)));
    }

    /** Returns the maximum number of tasks that may be in a zone now, with those in unknown zones. */
    int maxTasksIn(String zone) {
        return byZone.getOrDefault(zone, 0) + inUnknownZone;
    }

    @Override
    public String toString() {
        return inUnknownZone == 0 ? byZone.toString() : byZone + " and " + inUnknownZone + " in unknown zones";
    }
}
