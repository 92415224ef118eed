package org.havenford.coordination.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.havenford.coordination.membership.Membership;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.CallPriority;
import org.havenford.storage.ClusterState;
import org.havenford.storage.ConditionalWriter;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.TeamQuota;
import org.havenford.storage.records.TeamQuota.Resources;

/**
 * This controller's shares of the teams' quotas. Each claim is conditional on the mod revision of the team's quota record,
 * and charged to the share of the controller that makes it. Only that controller adds to what is charged to it, so it knows
 * the sum, or an upper bound of it. All claims of a team are then within the shares, and the shares within the quota.
 */
public final class QuotaAllocator {
    private static final Duration REBALANCE_INTERVAL = Duration.ofSeconds(1);
    /** An even share of a team's quota is allocated in this many increments. */
    private static final int INCREMENTS_PER_EVEN_SHARE = 4;
    /** Fraction of its unused share that a controller returns while another one is starved. */
    private static final double RETURNED_FRACTION = 0.5;
    /** Stands for a resource without a limit; sums of a few of these do not overflow. */
    private static final double UNLIMITED = Double.MAX_VALUE / 4;

    /**
     * What a claim takes of a quota share, from its sending until its outcome is certain.
     *
     * @param team the team whose quota is used
     * @param amount resources of all tasks that the transaction claims
     * @param jobId the job of the tasks
     * @param taskRangeKey key of the task range record that the claim changes
     * @param modRevision the mod revision of that key that the claim requires
     * @param viewRevision the mod revision of the cluster view that the claim requires
     */
    public record Charge(
            String team, Resources amount, String jobId, String taskRangeKey, long modRevision, long viewRevision) {}

    private final PlatformSettings settings;
    private final ClusterState clusterState;
    private final StoreReplica replica;
    private final Membership membership;
    private final ConditionalWriter writer;
    private final List<Charge> pendingCharges = new ArrayList<>();
    /** Teams for which a claim was cut short since the last rebalancing. */
    private final Set<String> starvedTeams = new HashSet<>();

    /** The first rebalancing is due at once. */
    private Instant nextRebalance = Instant.MIN;

    /** Creates the allocator of the controller that the settings name. */
    public QuotaAllocator(
            PlatformSettings settings,
            ClusterState clusterState,
            StoreReplica replica,
            Membership membership,
            ConditionalWriter writer) {
        this.settings = settings;
        this.clusterState = clusterState;
        this.replica = replica;
        this.membership = membership;
        this.writer = writer;
    }

    /** Counts a charge from the moment its claim is sent. */
    public void add(Charge charge) {
        pendingCharges.add(charge);
    }

    /** Stops counting a charge whose claim is known to have failed. */
    public void remove(Charge charge) {
        pendingCharges.remove(charge);
    }

    /** Stops counting the charges whose claims the replica shows, or that can no longer be applied. */
    public void removeResolvedCharges() {
        pendingCharges.removeIf(this::isResolved);
    }

    /**
     * A transaction without an answer can't be applied any more once its task range or the view has another mod revision, or
     * its job is gone; if it was applied before that, its claims are in our replica by now.
     */
    private boolean isResolved(Charge charge) {
        if (writer.isLocked(charge.taskRangeKey())) {
            return false;
        }
        return replica.modRevision(charge.taskRangeKey()) != charge.modRevision()
                || clusterState.job(charge.jobId()) == null
                || (membership.viewRevision() != charge.viewRevision() && membership.replicaCoversView());
    }

    /** What the claims of a team hold that are charged to this controller, pending ones included. */
    private Resources held(String team) {
        Resources sum = clusterState.charged(team, settings.node());
        for (Charge charge : pendingCharges) {
            if (charge.team().equals(team)) {
                sum = sum.plus(charge.amount());
            }
        }
        return sum;
    }

    /**
     * Allocates quota for claims of a team's tasks. The condition on the quota record, and where needed a larger share taken
     * from what no controller holds, become part of the claim's transaction.
     *
     * @param perTask resources of one task
     * @param wanted number of tasks to claim
     * @return how many of the wanted tasks this controller's share allows
     */
    public int allocate(PlatformSettings.Team team, Resources perTask, int wanted, Transaction transaction) {
        String key = Keys.team(team.name());
        if (writer.isLocked(key) || !membership.replicaCoversView()) {
            // A former incarnation of this controller may have made claims that our replica does not show yet.
            return 0;
        }
        transaction.requireRevision(key, replica.modRevision(key));
        TeamQuota quota = clusterState.quota(team.name());
        Resources held = held(team.name());
        Resources share = quota.share(settings.node());
        if (fits(held, perTask, wanted, share)) {
            return wanted;
        }
        Resources extended = extendedShare(team, quota, held.plus(perTask.times(wanted)));
        int allowed = wanted;
        while (allowed > 0 && !fits(held, perTask, allowed, extended)) {
            allowed--;
        }
        boolean starved = allowed < wanted;
        if (starved) {
            starvedTeams.add(team.name());
        }
        if (allowed > 0 && !fits(held, perTask, allowed, share)) {
            TeamQuota changed = quota.with(settings.node(), extended).withStarved(settings.node(), starved);
            transaction.put(key, changed.toJson());
        }
        return allowed;
    }

    private static boolean fits(Resources held, Resources perTask, int tasks, Resources share) {
        return held.plus(perTask.times(tasks)).within(share);
    }

    /** This controller's share, extended towards what it needs as far as unallocated quota allows. */
    private Resources extendedShare(PlatformSettings.Team team, TeamQuota quota, Resources needed) {
        Resources unallocated = limit(team).minus(quota.allocated()).max(Resources.NONE);
        Resources increment = increment(team);
        Resources target = needed.plus(increment).max(increment.times(INCREMENTS_PER_EVEN_SHARE));
        Resources share = quota.share(settings.node());
        return share.plus(target.minus(share).max(Resources.NONE).min(unallocated));
    }

    private static Resources limit(PlatformSettings.Team team) {
        return new Resources(
                team.cpusMax() > 0 ? team.cpusMax() : UNLIMITED, team.gpusMax() > 0 ? team.gpusMax() : UNLIMITED);
    }

    /** What a controller allocates beyond its need, so that not every claim has to write the quota record. */
    private Resources increment(PlatformSettings.Team team) {
        int members = Math.max(1, membership.view().members().size());
        double fraction = 1.0 / (INCREMENTS_PER_EVEN_SHARE * members);
        return new Resources(team.cpusMax() * fraction, team.gpusMax() * fraction);
    }

    /**
     * Returns unused quota while another controller is starved, and, on the provisioning leader, what controllers held that
     * have left. Each change of a quota record fails the team's claims that are under way, so none is made without need.
     */
    public void rebalance(Instant now) {
        if (now.isBefore(nextRebalance) || !membership.replicaCoversView()) {
            return;
        }
        nextRebalance = now.plus(REBALANCE_INTERVAL);
        for (PlatformSettings.Team team : settings.teams().values()) {
            String key = Keys.team(team.name());
            if (team.limited() && !writer.isLocked(key)) {
                rebalance(team, key);
            }
        }
        starvedTeams.clear();
    }

    private void rebalance(PlatformSettings.Team team, String key) {
        TeamQuota quota = clusterState.quota(team.name());
        TeamQuota changed = withOwnShare(team, quota);
        if (settings.node().equals(membership.view().provisioningLeader())) {
            changed = withoutFormerMembers(team, quota, changed);
        }
        if (changed != quota) {
            Transaction transaction = new Transaction()
                    .requireRevision(Keys.VIEW, membership.viewRevision())
                    .requireRevision(key, replica.modRevision(key))
                    .put(key, changed.toJson());
            writer.commit(transaction, CallPriority.WORK, List.of(key), () -> {});
        }
    }

    /** The quota record with this controller's starvation and the share it keeps; the same object if nothing changes. */
    private TeamQuota withOwnShare(PlatformSettings.Team team, TeamQuota quota) {
        String self = settings.node();
        TeamQuota changed = quota;
        Resources held = held(team.name());
        Resources share = quota.share(self);
        boolean starved = starvedTeams.contains(team.name());
        if (starved != quota.starvedHolders().contains(self)) {
            changed = changed.withStarved(self, starved);
        }
        boolean othersStarved = quota.starvedHolders().stream().anyMatch(node -> !node.equals(self));
        Resources unused = share.minus(held).max(Resources.NONE);
        if (othersStarved && !starved && !unused.within(Resources.NONE)) {
            // Only a fraction unless little is unused: tasks of this controller's own come in as well.
            boolean little = unused.within(increment(team));
            changed = changed.with(self, little ? held.min(share) : share.minus(unused.times(RETURNED_FRACTION)));
        }
        return changed;
    }

    /** Reduces the shares of controllers that have left the view to what their remaining claims hold. */
    private TeamQuota withoutFormerMembers(PlatformSettings.Team team, TeamQuota quota, TeamQuota changed) {
        TeamQuota next = changed;
        for (String holder : quota.holders()) {
            Resources charged = clusterState.charged(team.name(), holder);
            boolean isMember = membership.view().members().containsKey(holder);
            if (!isMember && !quota.share(holder).within(charged)) {
                next = next.with(holder, charged.min(quota.share(holder))).withStarved(holder, false);
            }
        }
        return next;
    }
}
