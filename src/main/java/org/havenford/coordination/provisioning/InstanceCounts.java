package org.havenford.coordination.provisioning;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Numbers of machines by instance kind. The number of a kind that was never added is zero. */
public final class InstanceCounts {
    private final Map<InstanceKind, Integer> counts = new HashMap<>();

    /** Adds machines of a kind, or subtracts them if the number is negative. */
    void add(InstanceKind kind, int number) {
        counts.merge(kind, number, Integer::sum);
    }

    /** Returns the number of machines of a kind. */
    int get(InstanceKind kind) {
        return counts.getOrDefault(kind, 0);
    }

    /** Returns the number of machines of a type, both spot and on-demand. */
    int ofType(String type) {
        return get(new InstanceKind(type, true)) + get(new InstanceKind(type, false));
    }

    /** Returns the kinds that have been added, in no particular order. */
    Set<InstanceKind> kinds() {
        return counts.keySet();
    }

    @Override
    public String toString() {
        return counts.toString();
    }
}
