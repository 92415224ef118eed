package org.havenford.coordination.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.havenford.coordination.jobs.CoordinationContext;
import org.havenford.coordination.membership.Membership;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.StoreClient;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.TeamQuota;
import org.havenford.storage.records.TeamQuota.Resources;

/**
 * This controller's shares of the teams' limits. Each claim is guarded by the stamp of the shares, and charged to the share
 * of the controller that makes it; only that controller adds to what is charged to it, so it knows the sum, or more. All
 * claims of a team are then within the shares, and those within the limit.
 */
public final class QuotaAllocator {
    private static final Duration REBALANCE_EVERY = Duration.ofSeconds(1);
    /** Parts of an even share of a team's limit in which shares are taken. */
    private static final int LUMPS = 4;
    /** Part of what this controller can spare that it gives back while another is short. */
    private static final double GIVEN_BACK = 0.5;
    /** Stands for no limit, and leaves room for sums. */
    private static final double UNLIMITED = Double.MAX_VALUE / 4;

    /** Claims under way, or without an answer: they count until they are seen or ruled out. */
    public record Charge(String team, Resources amount, String job, String key, long stamp, long viewStamp) {}

    private final CoordinationContext context;
    private final List<Charge> charges = new ArrayList<>();
    private final Set<String> shortTeams = new HashSet<>();
    private Instant nextRebalance = Instant.MIN;

    /** Shares of this controller in the given context. */
    public QuotaAllocator(CoordinationContext context) {
        this.context = context;
    }

    /** Counts a charge from the moment its claim is sent. */
    public void add(Charge charge) {
        charges.add(charge);
    }

    /** Stops counting a charge whose claim is known to have failed. */
    public void remove(Charge charge) {
        charges.remove(charge);
    }

    /**
     * A transaction without an answer can't be applied any more once its chunk or the view has another stamp, or its job is
     * gone; if it was applied before that, its claims are in our replica by now.
     */
    public void settle() {
        Membership membership = context.membership();
        charges.removeIf(c -> !context.writer().isLocked(c.key())
                && (context.modRevision(c.key()) != c.stamp()
                        || context.clusterState().job(c.job()) == null
                        || (membership.viewRevision() != c.viewStamp() && membership.replicaCoversView())));
    }

    private Resources held(String team) {
        Resources sum = context.clusterState().charged(team, context.node());
        for (Charge c : charges) {
            if (c.team().equals(team)) {
                sum = sum.plus(c.amount());
            }
        }
        return sum;
    }

    private static Resources limit(PlatformSettings.Team team) {
        return new Resources(
                team.cpusMax() > 0 ? team.cpusMax() : UNLIMITED, team.gpusMax() > 0 ? team.gpusMax() : UNLIMITED);
    }

    /**
     * How many of the wanted claims our share of the team's limit allows. The guard on the shares, and where needed a
     * larger share taken from what is free, become part of the claim's transaction.
     */
    public int take(PlatformSettings.Team team, Resources one, int wanted, StoreClient.Transaction transaction) {
        String key = Keys.team(team.name());
        if (context.writer().isLocked(key) || !context.membership().replicaCoversView()) {
            // A former life of this node may have made claims that our replica does not show yet.
            return 0;
        }
        transaction.requireRevision(key, context.modRevision(key));
        TeamQuota quota = context.clusterState().quota(team.name());
        Resources held = held(team.name());
        Resources share = quota.share(context.node());
        if (held.plus(one.times(wanted)).within(share)) {
            return wanted;
        }
        Resources free = limit(team).minus(quota.allocated()).max(Resources.NONE);
        Resources aim =
                held.plus(one.times(wanted)).plus(lump(team)).max(lump(team).times(LUMPS));
        Resources next = share.plus(aim.minus(share).max(Resources.NONE).min(free));
        int allowed = wanted;
        while (allowed > 0 && !held.plus(one.times(allowed)).within(next)) {
            allowed--;
        }
        if (allowed < wanted) {
            shortTeams.add(team.name());
        }
        if (allowed > 0 && !held.plus(one.times(allowed)).within(share)) {
            TeamQuota taken = quota.with(context.node(), next).withStarved(context.node(), allowed < wanted);
            transaction.put(key, taken.toJson());
        }
        return allowed;
    }

    /** What a controller takes beyond its need, so that not each claim has to write the shares. */
    private Resources lump(PlatformSettings.Team team) {
        int members = Math.max(1, context.membership().view().members().size());
        double part = 1.0 / (LUMPS * members);
        return new Resources(team.cpusMax() * part, team.gpusMax() * part);
    }

    /**
     * Gives back what can be spared while another controller is short, and what controllers held that are gone. Each change
     * of the shares fails the team's claims that are under way, so there are none without need.
     */
    public void rebalance(Instant now) {
        if (now.isBefore(nextRebalance) || !context.membership().replicaCoversView()) {
            return;
        }
        nextRebalance = now.plus(REBALANCE_EVERY);
        for (PlatformSettings.Team team : context.settings().teams().values()) {
            String key = Keys.team(team.name());
            if (team.limited() && !context.writer().isLocked(key)) {
                rebalance(team, key);
            }
        }
        shortTeams.clear();
    }

    private void rebalance(PlatformSettings.Team team, String key) {
        TeamQuota quota = context.clusterState().quota(team.name());
        TeamQuota next = withOwnShare(team, quota);
        if (context.node().equals(context.membership().view().provisioningLeader())) {
            next = withoutFormerMembers(team, quota, next);
        }
        if (next != quota) {
            StoreClient.Transaction transaction = new StoreClient.Transaction()
                    .requireRevision(Keys.VIEW, context.membership().viewRevision())
                    .requireRevision(key, context.modRevision(key))
                    .put(key, next.toJson());
            context.writer().commit(transaction, StoreClient.CallPriority.WORK, List.of(key), () -> {});
        }
    }

    private TeamQuota withOwnShare(PlatformSettings.Team team, TeamQuota quota) {
        String self = context.node();
        TeamQuota next = quota;
        Resources held = held(team.name());
        Resources share = quota.share(self);
        boolean isShort = shortTeams.contains(team.name());
        if (isShort != quota.starvedHolders().contains(self)) {
            next = next.withStarved(self, isShort);
        }
        boolean othersShort = quota.starvedHolders().stream().anyMatch(n -> !n.equals(self));
        Resources spare = share.minus(held).max(Resources.NONE);
        if (othersShort && !isShort && !spare.within(Resources.NONE)) {
            // A part of it, or all where it is little: tasks of our own come in as well.
            boolean little = spare.within(lump(team));
            next = next.with(self, little ? held.min(share) : share.minus(spare.times(GIVEN_BACK)));
        }
        return next;
    }

    private TeamQuota withoutFormerMembers(PlatformSettings.Team team, TeamQuota quota, TeamQuota changed) {
        TeamQuota next = changed;
        for (String holder : quota.holders()) {
            Resources charged = context.clusterState().charged(team.name(), holder);
            boolean isMember = context.membership().view().members().containsKey(holder);
            if (!isMember && !quota.share(holder).within(charged)) {
                next = next.with(holder, charged.min(quota.share(holder))).withStarved(holder, false);
            }
        }
        return next;
    }
}
