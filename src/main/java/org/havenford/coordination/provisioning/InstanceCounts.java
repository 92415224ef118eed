package org.havenford.coordination.provisioning;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Numbers of machines by instance kind; kinds that were never added count as none. */
public final class InstanceCounts {
    private final Map<InstanceKind, Integer> counts = new HashMap<>();

    /** Adds machines of a kind; a negative number takes machines off. */
    void add(InstanceKind kind, int number) {
        counts.merge(kind, number, Integer::sum);
    }

    /** Number of machines of a kind. */
    int get(InstanceKind kind) {
        return counts.getOrDefault(kind, 0);
    }

    /** Number of machines of a type, spot and ordinary ones together. */
    int ofType(String type) {
        return get(new InstanceKind(type, true)) + get(new InstanceKind(type, false));
    }

    /** The kinds that have been added, in no particular order. */
    Set<InstanceKind> kinds() {
        return counts.keySet();
    }

    @Override
    public String toString() {
        return counts.toString();
    }
}
