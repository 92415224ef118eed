package org.havenford.coordination.agents;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Machines whose agents may need commands, in order of change. The periodic sweep adds all that have tasks or claims. */
final class ChangedMachines {
    private final Set<String> machines = new LinkedHashSet<>();

    void add(String machine) {
        machines.add(machine);
    }

    /** Removes and returns all machines. */
    List<String> takeAll() {
        List<String> taken = List.copyOf(machines);
        machines.clear();
        return taken;
    }
}
