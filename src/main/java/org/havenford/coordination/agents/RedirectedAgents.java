package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.havenford.coordination.membership.Membership;

/**
 * Workers that report here although another controller owns their machines. One that is sent to its owner and comes back
 * has not reached it. Moving the machine costs an epoch, so it is asked for only after several reports; by then an owner
 * that many don't reach has been put to rest.
 */
final class RedirectedAgents {
    /** Reports further apart than this have nothing to do with each other. */
    private static final Duration APART = Duration.ofSeconds(15);

    private static final Duration FORGOTTEN_AFTER = Duration.ofMinutes(1);
    /** Part of a worker's lease during which it has to come back before its machine is moved. */
    private static final int PART_OF_LEASE = 3;

    private record Seen(Instant first, Instant last) {}

    private final Membership membership;
    private final Duration patience;
    private final Map<String, Seen> workers = new HashMap<>();

    RedirectedAgents(Membership membership, Duration workerLease) {
        this.membership = membership;
        this.patience = workerLease.dividedBy(PART_OF_LEASE);
    }

    /** A report came whose machine another controller owns. */
    void reported(String machine, Instant now) {
        Seen before = workers.get(machine);
        if (before == null || now.isAfter(before.last().plus(APART))) {
            // One report means nothing: a new machine asks anybody, and each change of view sends workers on.
            workers.put(machine, new Seen(now, now));
            return;
        }
        workers.put(machine, new Seen(before.first(), now));
        membership.recordMisdirectedHeartbeat(machine, membership.owner(machine));
        if (now.isAfter(before.first().plus(patience))) {
            membership.requestReassignment(machine);
            workers.remove(machine);
        }
    }

    /** A report came whose machine is ours. */
    void arrived(String machine) {
        workers.remove(machine);
    }

    /** Reports from before a pause and those that follow it have nothing to do with each other. */
    void processPaused() {
        workers.clear();
    }

    /** Forgets workers that have not reported here for long. */
    void forgetOld(Instant now) {
        workers.values().removeIf(seen -> now.isAfter(seen.last().plus(FORGOTTEN_AFTER)));
    }
}
