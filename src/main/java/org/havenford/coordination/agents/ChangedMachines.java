package org.havenford.coordination.agents;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Machines whose agents may need commands, in the order in which they changed; the periodic sweep adds all. */
final class ChangedMachines {
    private final Set<String> names = new LinkedHashSet<>();

    void add(String machine) {
        names.add(machine);
    }

    /** The changed machines, which are forgotten here. */
    List<String> takeAll() {
        List<String> taken = List.copyOf(names);
        names.clear();
        return taken;
    }
}
