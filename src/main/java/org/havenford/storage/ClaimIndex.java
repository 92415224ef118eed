package org.havenford.storage;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.TaskId;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.TeamQuota.Resources;

/** Index of the claims by machine, and of the resources that they use by team and quota holder. */
final class ClaimIndex {
    private final Object2ObjectOpenHashMap<String, Map<TaskId, Claim>> claimsByMachine =
            new Object2ObjectOpenHashMap<>();
    /** Resources used by claims, by team and by the quota holder whose share is charged. */
    private final Map<String, Map<String, Resources>> usageByTeam = new HashMap<>();

    private ClusterState.Observer observer;

    void setObserver(ClusterState.Observer observer) {
        this.observer = observer;
    }

    void add(Claim claim, JobSpec spec) {
        claimsByMachine
                .computeIfAbsent(claim.machine(), machine -> new TreeMap<>())
                .put(claim.task(), claim);
        updateUsage(claim, spec, 1);
        observer.machineChanged(claim.machine());
    }

    void remove(Claim claim, JobSpec spec) {
        Map<TaskId, Claim> claims = claimsByMachine.get(claim.machine());
        if (claims != null) {
            claims.remove(claim.task(), claim);
            if (claims.isEmpty()) {
                claimsByMachine.remove(claim.machine());
            }
        }
        updateUsage(claim, spec, -1);
        observer.machineChanged(claim.machine());
    }

    private void updateUsage(Claim claim, JobSpec spec, int sign) {
        Map<String, Resources> usageByHolder = usageByTeam.computeIfAbsent(spec.team(), team -> new HashMap<>());
        usageByHolder.merge(
                claim.quotaHolder(), new Resources(sign * spec.cpus(), sign * spec.gpus()), Resources::plus);
    }

    /** Returns the claims on a machine, by task. */
    Map<TaskId, Claim> claimsOn(String machine) {
        return claimsByMachine.getOrDefault(machine, Map.of());
    }

    /** Returns a copy of the names of the machines with claims. */
    Collection<String> claimedMachines() {
        return List.copyOf(claimsByMachine.keySet());
    }

    /** Returns the resources used by all claims of a team, whichever shares they are charged to. */
    Resources usage(String team) {
        Resources sum = Resources.NONE;
        for (Resources usage : usageByTeam.getOrDefault(team, Map.of()).values()) {
            sum = sum.plus(usage);
        }
        return sum;
    }

    /** Returns the resources used by those claims of a team that are charged to one holder's share. */
    Resources usage(String team, String holder) {
        return usageByTeam.getOrDefault(team, Map.of()).getOrDefault(holder, Resources.NONE);
    }
}
