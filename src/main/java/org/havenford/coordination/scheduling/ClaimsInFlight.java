package org.havenford.coordination.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.havenford.protocol.JobSpec;

/** Claims whose transaction has not been answered yet, by machine: their capacity is taken already. */
final class ClaimsInFlight {
    private final Map<String, List<JobSpec>> byMachine = new HashMap<>();

    void add(String machine, JobSpec spec) {
        byMachine.computeIfAbsent(machine, name -> new ArrayList<>()).add(spec);
    }

    /** The transaction of a claim that was added has been answered. */
    void remove(String machine, JobSpec spec) {
        List<JobSpec> onMachine = byMachine.get(machine);
        onMachine.remove(spec);
        if (onMachine.isEmpty()) {
            byMachine.remove(machine);
        }
    }

    /** For each claim in flight on a machine, the specification of its job. */
    List<JobSpec> on(String machine) {
        return byMachine.getOrDefault(machine, List.of());
    }
}
