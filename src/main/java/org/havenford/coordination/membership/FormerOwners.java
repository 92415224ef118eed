package org.havenford.coordination.membership;

import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import it.unimi.dsi.fastutil.longs.LongSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import org.havenford.storage.records.ClusterView;

/**
 * Bounds the time until which former owners of a machine can renew the lease of its agent. A member answers agents only
 * within one membership lease after it has found its view in the store, so the owner in a replaced view stops at most
 * one lease after the replacement. It has stopped before if its own membership lease is known to have expired.
 *
 * <p>That a member is no longer registered does not prove this: a repeated registration of an earlier incarnation can
 * take over the key and is deleted with the lease of that incarnation, while the member goes on.
 */
final class FormerOwners {
    /** A view and when this controller learned that another one has replaced it. */
    private record ReplacedView(ClusterView view, Instant replacedAt) {}

    private final String node;
    private final Duration leaseDuration;
    private final ArrayDeque<ReplacedView> replacedViews = new ArrayDeque<>();
    /** Incarnations whose leases are known to have expired in the store. */
    private final LongSet expiredIncarnations = new LongOpenHashSet();
    /** Incarnations whose registrations were deleted by an eviction, although their leases may not have expired. */
    private final LongSet evictedIncarnations = new LongOpenHashSet();
    /** When owners in views that this controller has not seen stop at the latest. */
    private Instant unseenOwnersStopAt = Instant.MIN;

    FormerOwners(String node, Duration leaseDuration) {
        this.node = node;
        this.leaseDuration = leaseDuration;
    }

    /** Records that the store has deleted the registration of an incarnation together with the lease of the same id. */
    void leaseExpired(long incarnation) {
        expiredIncarnations.add(incarnation);
    }

    /** Records that a view was replaced. A gap between the epochs means that views in between were not seen. */
    void viewReplaced(ClusterView replaced, ClusterView current, Instant now) {
        if (current.epoch() != replaced.epoch() + 1) {
            unseenOwnersStopAt = latestRenewalByAnyOwner(now);
        }
        evictedIncarnations.addAll(current.evicted().values());
        replacedViews.removeIf(view -> now.isAfter(view.replacedAt().plus(leaseDuration)));
        replacedViews.add(new ReplacedView(replaced, now));
    }

    /** Returns the latest time at which any owner in views up to the current one can renew the lease of an agent. */
    Instant latestRenewalByAnyOwner(Instant now) {
        return now.plus(leaseDuration);
    }

    /** Returns the latest time, not before {@code now}, at which a former owner can renew the lease of an agent. */
    Instant latestRenewal(String machine, Instant now) {
        Instant latest = later(now, unseenOwnersStopAt);
        for (ReplacedView replaced : replacedViews) {
            String owner = replaced.view().owner(machine);
            if (owner != null && !hasStopped(owner, replaced.view().members().get(owner))) {
                latest = later(latest, replaced.replacedAt().plus(leaseDuration));
            }
        }
        return latest;
    }

    /** Returns whether a former owner can no longer act. Only one process of a node runs at a time. */
    private boolean hasStopped(String owner, long incarnation) {
        boolean leaseExpired = expiredIncarnations.contains(incarnation) && !evictedIncarnations.contains(incarnation);
        return owner.equals(node) || leaseExpired;
    }

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }
}
