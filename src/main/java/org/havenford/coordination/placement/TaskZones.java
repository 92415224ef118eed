package org.havenford.coordination.placement;

import java.util.HashMap;
import java.util.Map;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.MachineRecord;

/**
 * In which zones tasks of a job are, or may be: a claim counts until it is released, which takes a proof that its task is
 * gone, and so does each task that a round of the planner has placed. A claim on a machine without a record may be in any
 * zone.
 */
public final class TaskZones {
    private final Map<String, Integer> byZone = new HashMap<>();
    private int inUnknownZone;

    /** The zones of a job's claims. */
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

    /** One more task is in a zone. */
    public void add(String zone) {
        byZone.merge(zone, 1, Integer::sum);
    }

    /** One more task is in a zone that nobody knows. */
    void addUnknown() {
        inUnknownZone++;
    }

    /** An independent copy. */
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

    /** Whether there is no task that is, or may be, in another zone. */
    boolean allIn(String zone) {
        return inUnknownZone == 0 && (byZone.isEmpty() || (byZone.size() == 1 && byZone.containsKey(zone)));
    }

    /** The largest number of tasks that the zone may hold now. */
    int maxTasksIn(String zone) {
        return byZone.getOrDefault(zone, 0) + inUnknownZone;
    }

    @Override
    public String toString() {
        return inUnknownZone == 0 ? byZone.toString() : byZone + " and " + inUnknownZone + " in unknown zones";
    }
}
