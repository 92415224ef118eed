package org.havenford.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * How a controller uses its account of a team's limit: what it takes for its claims, what it names as its need, and what it
 * hands over. Each result is a value to be written under the stamp of the one it was worked out from; none lets the accounts
 * hold more than the ceiling together, or an account less than is charged to it.
 */
public final class AccountPolicy {
    /** Parts of an even share of a limit in which more is taken than is needed at once. */
    private static final int LUMPS = 4;
    /** Part of what can be spared that goes back to the pool where needs are not named. */
    private static final double GIVEN_BACK = 0.5;
    /** Who has had nothing for this long is served before one's own tasks. */
    private static final long STARVES_AFTER_MILLIS = 2000;

    /** What is charged to the account of a controller, as far as the asker's copy shows. */
    public interface Charges {
        /** The sum of the claims that are charged to an account. */
        Amount of(String node);
    }

    /** The controller that asks: its name, what is charged to it at the most, its need or null, and the time of day. */
    public record Self(String node, Amount held, Accounts.Need need, long nowMillis) {}

    /** How many claims are granted, and the accounts to be written with them; null if they stay as they are. */
    public record Grant(int allowed, Accounts next) {}

    private final Amount ceiling;
    private final int members;
    private final boolean transfers;

    /** A policy for a limit among so many controllers; with {@code transfers} needs are named and met directly. */
    public AccountPolicy(Amount ceiling, int members, boolean transfers) {
        this.ceiling = ceiling;
        this.members = Math.max(1, members);
        this.transfers = transfers;
    }

    /** What a controller takes beyond its need, so that not each claim has to write the accounts. */
    private Amount lump() {
        double part = 1.0 / (LUMPS * members);
        return new Amount(finite(ceiling.cpus()) * part, finite(ceiling.cards()) * part);
    }

    /** No limit in one dimension asks for no lump of it. */
    private static double finite(double limit) {
        return limit >= Amount.UNLIMITED ? 0 : limit;
    }

    /** Whether the accounts hold more than the ceiling, which was lowered: nothing is granted until they do not. */
    public boolean exceeded(Accounts accounts) {
        return !accounts.dealt().within(ceiling);
    }

    /** How many of the wanted claims an account allows, with what can be taken from the pool for them. */
    public Grant grant(Accounts accounts, String self, Amount held, Amount one, int wanted) {
        if (!accounts.readable() || exceeded(accounts)) {
            return new Grant(0, null);
        }
        Amount share = accounts.share(self);
        if (held.plus(one.times(wanted)).within(share)) {
            return new Grant(wanted, null);
        }
        Amount free = ceiling.minus(accounts.dealt()).most(Amount.NONE);
        Amount needed = held.plus(one.times(wanted));
        Amount aim = needed.plus(lump()).most(lump().times(LUMPS));
        if (transfers && !aim.minus(share).most(Amount.NONE).within(free)) {
            // Near the ceiling nobody takes more than it uses.
            aim = needed;
        }
        Amount next = share.plus(aim.minus(share).most(Amount.NONE).least(free));
        int allowed = wanted;
        while (allowed > 0 && !held.plus(one.times(allowed)).within(next)) {
            allowed--;
        }
        boolean written = allowed > 0 && !held.plus(one.times(allowed)).within(share);
        return new Grant(allowed, written ? accounts.with(self, next).withShort(self, allowed < wanted) : null);
    }

    /**
     * What a controller changes apart from claims: it names its need or takes it back, and hands over what it can spare.
     * Returns the same accounts if there is nothing to change.
     */
    public Accounts settle(Accounts accounts, Self asker, Charges charges) {
        if (!accounts.readable()) {
            return accounts;
        }
        String self = asker.node();
        Amount held = asker.held();
        Amount spare = accounts.share(self).minus(held).most(Amount.NONE);
        if (exceeded(accounts)) {
            return spare.within(Amount.NONE)
                    ? accounts
                    : accounts.with(self, accounts.share(self).least(held));
        }
        Accounts next = named(accounts, self, asker.need());
        if (spare.within(Amount.NONE)) {
            return next;
        }
        return transfers ? handOver(next, asker, spare, charges) : backToPool(next, asker, spare);
    }

    private Accounts named(Accounts accounts, String self, Accounts.Need need) {
        boolean wasShort = accounts.shortOf().contains(self);
        if (need == null) {
            return wasShort ? accounts.withShort(self, false) : accounts;
        }
        if (!transfers) {
            return wasShort ? accounts : accounts.withShort(self, true);
        }
        // The amount changes with every task; only that something is needed, and since when, is worth a transaction.
        return accounts.need(self) == null ? accounts.withNeed(self, need) : accounts;
    }

    private Accounts backToPool(Accounts accounts, Self asker, Amount spare) {
        String self = asker.node();
        boolean othersShort = accounts.shortOf().stream().anyMatch(node -> !node.equals(self));
        if (!othersShort || asker.need() != null) {
            return accounts;
        }
        // A part of it, or all where it is little: tasks of our own come in as well.
        boolean little = spare.within(lump());
        Amount share = accounts.share(self);
        return accounts.with(self, little ? asker.held().least(share) : share.minus(spare.times(GIVEN_BACK)));
    }

    /**
     * To those that need it, who has waited longest first. Tasks of our own come first, unless another has had nothing for a
     * while. Nobody gets more than it lacks, so what it was given is not given again before it could use it.
     */
    private static Accounts handOver(Accounts accounts, Self asker, Amount spare, Charges charges) {
        Accounts next = accounts;
        Amount left = spare;
        for (String other : inOrder(accounts)) {
            Accounts.Need need = accounts.need(other);
            boolean starves = accounts.share(other).within(Amount.NONE)
                    && asker.nowMillis() - need.sinceMillis() > STARVES_AFTER_MILLIS;
            if (other.equals(asker.node()) || asker.need() != null && !starves) {
                continue;
            }
            Amount unused = accounts.share(other).minus(charges.of(other)).most(Amount.NONE);
            Amount given = need.amount().minus(unused).most(Amount.NONE).least(left);
            if (!given.within(Amount.NONE)) {
                next = next.transfer(asker.node(), other, given);
                left = left.minus(given);
            }
        }
        return next;
    }

    /** Controllers that have named a need, in an order that all work out alike. */
    private static List<String> inOrder(Accounts accounts) {
        List<String> nodes = new ArrayList<>(accounts.shortOf());
        nodes.removeIf(node -> accounts.need(node) == null);
        nodes.sort(Comparator.comparingLong((String node) -> accounts.need(node).sinceMillis())
                .thenComparing(Comparator.naturalOrder()));
        return nodes;
    }
}
