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
 * Manages this controller's shares of the teams' quotas. Each claim is conditional on the mod revision of the team's
 * quota record, and is charged to the share of the controller that makes it. Only that controller adds charges to its
 * share, so it always knows their sum or an upper bound. Hence the claims of a team never exceed the shares, and the
 * shares never exceed the quota.
 */
public final class QuotaAllocator {
    private static final Duration REBALANCE_INTERVAL = Duration.ofSeconds(1);
    /** Number of increments that make up an even share of a team's quota. */
    private static final int INCREMENTS_PER_EVEN_SHARE = 4;
    /** Fraction of its unused share that a controller returns while another controller is starved. */
    private static final double RETURNED_FRACTION = 0.5;
    /** Limit of a resource that has none; small enough that the sum of a few such values does not overflow. */
    private static final double UNLIMITED = Double.MAX_VALUE / 4;

    /**
     * The resources that a claim takes from a quota share, counted from when the claim is sent until its outcome is
     * known.
     *
     * @param team the team whose quota is charged
     * @param resources the total resources of the tasks that the transaction claims
     * @param jobId the job of the tasks
     * @param taskRangeKey the key of the task range record that the claim changes
     * @param taskRangeRevision the mod revision of the task range key that the claim requires
     * @param viewRevision the mod revision of the cluster view that the claim requires
     */
    public record Charge(
            String team,
            Resources resources,
            String jobId,
            String taskRangeKey,
            long taskRangeRevision,
            long viewRevision) {}

    private final PlatformSettings settings;
    private final ClusterState clusterState;
    private final StoreReplica replica;
    private final Membership membership;
    private final ConditionalWriter writer;
    private final List<Charge> pendingCharges = new ArrayList<>();
    /** Teams for which this controller could not claim all wanted tasks since the last rebalancing. */
    private final Set<String> starvedTeams = new HashSet<>();

    /** The initial value makes the first rebalancing due immediately. */
    private Instant nextRebalance = Instant.MIN;

    /** Creates the allocator for the controller whose node name is in the settings. */
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

    /** Adds the charge of a claim that is being sent. */
    public void addCharge(Charge charge) {
        pendingCharges.add(charge);
    }

    /**
     * Removes a charge after the outcome of its claim has become known. The resources of a committed claim are then
     * counted from the replica.
     */
    public void removeCharge(Charge charge) {
        pendingCharges.remove(charge);
    }

    /** Removes the charges whose claims are in the replica or can no longer be applied. */
    public void removeResolvedCharges() {
        pendingCharges.removeIf(this::isResolved);
    }

    /**
     * Returns whether the outcome of a claim is settled although its transaction got no answer. The transaction can no
     * longer be applied once its task range or the view has another mod revision, or its job is gone. If it was applied
     * before that, its claims are in the replica by now.
     */
    private boolean isResolved(Charge charge) {
        if (writer.isLocked(charge.taskRangeKey())) {
            return false;
        }
        return replica.modRevision(charge.taskRangeKey()) != charge.taskRangeRevision()
                || clusterState.job(charge.jobId()) == null
                || (membership.viewRevision() != charge.viewRevision() && membership.replicaCoversView());
    }

    /** Returns the resources of a team's claims that are charged to this controller, including pending claims. */
    private Resources ownUsage(String team) {
        Resources sum = clusterState.usage(team, settings.node());
        for (Charge charge : pendingCharges) {
            if (charge.team().equals(team)) {
                sum = sum.plus(charge.resources());
            }
        }
        return sum;
    }

    /**
     * Allocates quota for claims on a team's tasks. Adds the condition on the quota record to the claim's transaction
     * and, if this controller's share is too small, an update that extends the share from unallocated quota.
     *
     * @param perTask the resources of one task
     * @param wanted the number of tasks to claim
     * @return the number of tasks, up to {@code wanted}, that fit into this controller's share
     */
    public int allocate(PlatformSettings.Team team, Resources perTask, int wanted, Transaction transaction) {
        String key = Keys.team(team.name());
        if (writer.isLocked(key) || !membership.replicaCoversView()) {
            // A former incarnation of this controller may have made claims that are not in the replica yet.
            return 0;
        }
        transaction.requireRevision(key, replica.modRevision(key));
        TeamQuota quota = clusterState.quota(team.name());
        Resources usage = ownUsage(team.name());
        Resources share = quota.share(settings.node());
        if (fits(usage, perTask, wanted, share)) {
            return wanted;
        }
        Resources extended = extendedShare(team, quota, usage.plus(perTask.times(wanted)));
        int allowed = wanted;
        while (allowed > 0 && !fits(usage, perTask, allowed, extended)) {
            allowed--;
        }
        boolean starved = allowed < wanted;
        if (starved) {
            starvedTeams.add(team.name());
        }
        if (allowed > 0 && !fits(usage, perTask, allowed, share)) {
            TeamQuota updated = quota.withShare(settings.node(), extended).withStarved(settings.node(), starved);
            transaction.put(key, updated.toJson());
        }
        return allowed;
    }

    private static boolean fits(Resources usage, Resources perTask, int tasks, Resources share) {
        return usage.plus(perTask.times(tasks)).fitsWithin(share);
    }

    /**
     * Returns this controller's share, extended as far as unallocated quota allows. The target is the larger of an even
     * share and the needed resources plus one increment.
     */
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

    /**
     * Returns the amount that a controller allocates beyond its need, so that not every claim has to update the quota
     * record.
     */
    private Resources increment(PlatformSettings.Team team) {
        int members = Math.max(1, membership.view().members().size());
        double fraction = 1.0 / (INCREMENTS_PER_EVEN_SHARE * members);
        return new Resources(team.cpusMax() * fraction, team.gpusMax() * fraction);
    }

    /**
     * Returns unused quota while another controller is starved. On the provisioning leader, also reclaims the shares of
     * controllers that have left the view. Each update of a quota record fails the team's claims in flight, so a record
     * is written only if it changes.
     */
    public void rebalance(Instant now) {
        if (now.isBefore(nextRebalance) || !membership.replicaCoversView()) {
            return;
        }
        nextRebalance = now.plus(REBALANCE_INTERVAL);
        for (PlatformSettings.Team team : settings.teams().values()) {
            String key = Keys.team(team.name());
            if (team.isLimited() && !writer.isLocked(key)) {
                rebalance(team, key);
            }
        }
        starvedTeams.clear();
    }

    private void rebalance(PlatformSettings.Team team, String key) {
        TeamQuota quota = clusterState.quota(team.name());
        TeamQuota updated = withOwnShare(team, quota);
        if (settings.node().equals(membership.view().provisioningLeader())) {
            updated = withoutFormerMembers(team, quota, updated);
        }
        if (updated != quota) {
            Transaction transaction = new Transaction()
                    .requireRevision(Keys.VIEW, membership.viewRevision())
                    .requireRevision(key, replica.modRevision(key))
                    .put(key, updated.toJson());
            writer.commit(transaction, CallPriority.WORK, List.of(key), () -> {});
        }
    }

    /**
     * Returns the quota record with this controller's starvation flag and reduced share, or the same object if nothing
     * changes.
     */
    private TeamQuota withOwnShare(PlatformSettings.Team team, TeamQuota quota) {
        String self = settings.node();
        TeamQuota updated = quota;
        Resources usage = ownUsage(team.name());
        Resources share = quota.share(self);
        boolean starved = starvedTeams.contains(team.name());
        if (starved != quota.starvedHolders().contains(self)) {
            updated = updated.withStarved(self, starved);
        }
        boolean othersStarved = quota.starvedHolders().stream().anyMatch(node -> !node.equals(self));
        Resources unused = share.minus(usage).max(Resources.NONE);
        if (othersStarved && !starved && !unused.fitsWithin(Resources.NONE)) {
            // Returns only a fraction unless little is unused, since this controller also receives new tasks.
            boolean unusedIsSmall = unused.fitsWithin(increment(team));
            updated = updated.withShare(
                    self, unusedIsSmall ? usage.min(share) : share.minus(unused.times(RETURNED_FRACTION)));
        }
        return updated;
    }

    /** Reduces the shares of controllers that have left the view to the resources of their remaining claims. */
    private TeamQuota withoutFormerMembers(PlatformSettings.Team team, TeamQuota quota, TeamQuota updated) {
        TeamQuota result = updated;
        for (String holder : quota.holders()) {
            Resources charged = clusterState.usage(team.name(), holder);
            boolean isMember = membership.view().members().containsKey(holder);
            if (!isMember && !quota.share(holder).fitsWithin(charged)) {
                result = result.withShare(holder, charged.min(quota.share(holder)))
                        .withStarved(holder, false);
            }
        }
        return result;
    }
}
