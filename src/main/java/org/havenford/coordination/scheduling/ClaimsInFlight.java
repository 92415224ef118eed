package org.havenford.coordination.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.havenford.protocol.JobSpec;

/** Claims whose transactions have no known outcome yet, by machine. Their capacity already counts as used. */
final class ClaimsInFlight {
    private final Map<String, List<JobSpec>> byMachine = new HashMap<>();

    void add(String machine, JobSpec spec) {
        byMachine.computeIfAbsent(machine, name -> new ArrayList<>()).add(spec);
    }

    /** Removes a claim that was added, once the outcome of its transaction is known. */
    void remove(String machine, JobSpec spec) {
        List<JobSpec> onMachine = byMachine.get(machine);
        onMachine.remove(spec);
        if (onMachine.isEmpty()) {
            byMachine.remove(machine);
        }
    }

    /** Returns the job specification of each claim in flight on a machine. */
    List<JobSpec> on(String machine) {
        return byMachine.getOrDefault(machine, List.of());
    }
}
