package org.havenford.coordination;

import com.google.gson.JsonObject;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.havenford.bookkeeping.Keys;
import org.havenford.bookkeeping.StateStore;
import org.havenford.protocol.Settings;
import org.havenford.quota.AccountPolicy;
import org.havenford.quota.Accounts;
import org.havenford.quota.Amount;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's accounts of the teams' limits. Each claim is charged to the account of the controller that makes it; only
 * that controller adds to what is charged to it, so it knows the sum, or more, and only it lowers its account while it is a
 * member. All claims of a team are then within the accounts, and those within the limit. Proof: docs/limits.md.
 */
final class TeamShares {
    private static final Logger LOG = LoggerFactory.getLogger(TeamShares.class);
    private static final Duration SETTLE_EVERY = Duration.ofSeconds(1);
    private static final Duration SETTLE_EVERY_WITH_TRANSFERS = Duration.ofMillis(150);
    /** A need that was not felt for this long is over. */
    private static final Duration NEED_LASTS = Duration.ofSeconds(1);
    /** Tasks that a controller names as its need at the most: what it gets it must be able to use at once. */
    private static final int MOST_TASKS_NEEDED = 4;

    /** What this controller lacks of a team's limit, since when by the time of day, and when it was felt last. */
    private record Lack(Instant since, Instant felt, Amount amount) {}

    /** Claims under way, or without an answer: they count until they are seen or ruled out. */
    record Charge(String team, Amount amount, String job, String key, long stamp, long viewStamp) {}

    private final SchedulingContext context;
    private final List<Charge> charges = new ArrayList<>();
    private final Map<String, Lack> lacks = new HashMap<>();
    /** Records for which a change of our own has no answer, with the stamp that it was guarded by. */
    private final Map<String, Long> unanswered = new HashMap<>();

    private final boolean transfers;
    private Instant nextSettling = Instant.MIN;

    /** With {@code transfers}, accounts hand over directly what another has named as its need. */
    TeamShares(SchedulingContext context, boolean transfers) {
        this.context = context;
        this.transfers = transfers;
    }

    void add(Charge charge) {
        charges.add(charge);
    }

    void remove(Charge charge) {
        charges.remove(charge);
    }

    /**
     * A transaction without an answer can't be applied any more once its chunk or the view has another stamp, or its job is
     * gone; if it was applied before that, its claims are in our replica by now.
     */
    void settle() {
        Membership membership = context.membership();
        charges.removeIf(c -> !context.writer().isLocked(c.key())
                && (context.stamp(c.key()) != c.stamp()
                        || context.ledger().job(c.job()) == null
                        || membership.viewStamp() != c.viewStamp() && membership.sawAllBeforeView()));
    }

    private Amount held(String team) {
        Amount sum = context.ledger().charged(team, context.node());
        for (Charge c : charges) {
            if (c.team().equals(team)) {
                sum = sum.plus(c.amount());
            }
        }
        return sum;
    }

    private AccountPolicy policy(Settings.Team team) {
        Amount ceiling = new Amount(
                team.cpusMax() > 0 ? team.cpusMax() : Amount.UNLIMITED,
                team.cardsMax() > 0 ? team.cardsMax() : Amount.UNLIMITED);
        int members = context.membership().view().members().size();
        return new AccountPolicy(ceiling, members, transfers);
    }

    /**
     * How many of the wanted claims our account of the team's limit allows. The guard on the accounts, and where needed what
     * is taken from the pool, become part of the claim's transaction.
     */
    int take(Settings.Team team, Amount one, int wanted, StateStore.Txn txn) {
        String key = Keys.team(team.name());
        if (context.writer().isLocked(key) || !context.membership().sawAllBeforeView()) {
            // A former life of this node may have made claims that our replica does not show yet.
            return 0;
        }
        guardLimit(team, txn);
        Accounts accounts = context.ledger().accounts(team.name());
        if (mayBeLowered(key)) {
            return 0;
        }
        AccountPolicy.Grant grant = policy(team).grant(accounts, context.node(), held(team.name()), one, wanted);
        if (!transfers || grant.next() != null) {
            txn.guard(key, context.stamp(key));
        }
        if (grant.allowed() < wanted) {
            lacks(team.name(), one.times(Math.min(MOST_TASKS_NEEDED, wanted - grant.allowed())));
        }
        if (grant.next() != null) {
            txn.set(key, grant.next().toJson());
        }
        return grant.allowed();
    }

    /** Who writes the accounts of others, as a rebuild does, changes this key: what was decided before it then fails. */
    private void guardLimit(Settings.Team team, StateStore.Txn txn) {
        String limit = Keys.limit(team.name());
        txn.guard(limit, context.stamp(limit));
    }

    /**
     * A change of the accounts without an answer may have lowered our own, or may yet. It is ruled out, or known, once the
     * record has another stamp than it was guarded by.
     */
    private boolean mayBeLowered(String key) {
        Long guarded = unanswered.get(key);
        if (guarded != null && context.stamp(key) != guarded) {
            unanswered.remove(key);
            guarded = null;
        }
        return guarded != null;
    }

    private void lacks(String team, Amount amount) {
        Lack before = lacks.get(team);
        Instant since = before == null ? context.loop().timeOfDay() : before.since();
        lacks.put(team, new Lack(since, context.loop().now(), amount));
    }

    /**
     * Names what this controller needs, hands over what it can spare, and takes back what controllers held that are gone. Each
     * change of the accounts fails the team's claims that are under way, so there are none without need.
     */
    void rebalance(Instant now) {
        if (now.isBefore(nextSettling) || !context.membership().sawAllBeforeView()) {
            return;
        }
        nextSettling = now.plus(transfers ? SETTLE_EVERY_WITH_TRANSFERS : SETTLE_EVERY);
        lacks.values().removeIf(lack -> !now.isBefore(lack.felt().plus(NEED_LASTS)));
        for (Settings.Team team : context.settings().teams().values()) {
            String key = Keys.team(team.name());
            if (team.limited() && !context.writer().isLocked(key)) {
                rebalance(team, key);
            }
        }
    }

    private void rebalance(Settings.Team team, String key) {
        Accounts accounts = context.ledger().accounts(team.name());
        boolean first = context.node().equals(context.membership().view().first());
        Accounts next = accounts.readable() ? settled(team, accounts) : accounts;
        if (mayBeLowered(key) && next == accounts) {
            // Written again as it is: one of both comes first, and rules the other out.
            next = accounts.withShort(context.node(), accounts.shortOf().contains(context.node()));
        }
        if (first) {
            next = accounts.readable() ? withoutFormerMembers(team, accounts, next) : rebuilt(team, key, accounts);
        }
        if (next != accounts) {
            StateStore.Txn txn = new StateStore.Txn()
                    .guard(Keys.VIEW, context.membership().viewStamp())
                    .guard(key, context.stamp(key))
                    .set(key, next.toJson());
            boolean unreadable = !accounts.readable();
            if (unreadable) {
                String limit = Keys.limit(team.name());
                txn.guard(limit, context.stamp(limit)).set(limit, new JsonObject());
            }
            long stamp = context.stamp(key);
            context.writer().commit(txn, StateStore.Urgency.WORK, List.of(key), () -> {}, result -> {
                if (result.outcome() == StateStore.Outcome.UNKNOWN) {
                    unanswered.put(key, stamp);
                }
            });
        }
    }

    private Accounts settled(Settings.Team team, Accounts accounts) {
        Lack lack = lacks.get(team.name());
        Accounts.Need need =
                lack == null ? null : new Accounts.Need(lack.since().toEpochMilli(), lack.amount());
        long now = context.loop().timeOfDay().toEpochMilli();
        AccountPolicy.Self self = new AccountPolicy.Self(context.node(), held(team.name()), need, now);
        return policy(team).settle(accounts, self, node -> context.ledger().charged(team.name(), node));
    }

    /**
     * A record that can't be read is written anew from the claims. Under its stamp nobody grants anything, so a copy that has
     * passed it holds all claims that there are. unreadable-accounts.trace
     */
    private Accounts rebuilt(Settings.Team team, String key, Accounts unreadable) {
        if (context.replica().edition() < context.stamp(key)) {
            return unreadable;
        }
        Accounts next = Accounts.EMPTY;
        for (String holder : context.ledger().chargedAccounts(team.name())) {
            next = next.with(holder, context.ledger().charged(team.name(), holder));
        }
        LOG.error("the accounts of {} can't be read: they are rebuilt from its claims, {}", team.name(), next.toJson());
        return next;
    }

    private Accounts withoutFormerMembers(Settings.Team team, Accounts accounts, Accounts changed) {
        Accounts next = changed;
        for (String holder : List.copyOf(accounts.holders())) {
            Amount charged = context.ledger().charged(team.name(), holder);
            boolean isMember = context.membership().view().members().containsKey(holder);
            if (!isMember && !accounts.share(holder).within(charged)) {
                next = next.with(holder, charged.least(accounts.share(holder))).withShort(holder, false);
            }
        }
        return next;
    }
}
