package org.havenford.quota;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.havenford.protocol.Json;

/**
 * A team's limit, divided among the accounts of the controllers: CPUs and cards that the claims charged to each may take.
 * What no account holds is free to be taken. A controller whose account does not suffice names what it needs and since when,
 * so that others hand over what they can spare.
 */
public final class Accounts {
    /** What a controller's tasks wait for, and since when by the time of day. */
    public record Need(long sinceMillis, Amount amount) {}

    private static final String SHARES = "shares";
    private static final String SHORT = "short";
    private static final String NEEDS = "needs";

    /** No account holds anything. */
    public static final Accounts EMPTY = new Accounts(true);

    /** The stored record can't be read: nothing is granted from it until it has been rebuilt from claims. */
    public static final Accounts UNREADABLE = new Accounts(false);

    private final TreeMap<String, Amount> shares = new TreeMap<>();
    private final TreeSet<String> shortOf = new TreeSet<>();
    private final TreeMap<String, Need> needs = new TreeMap<>();
    private final boolean readable;

    private Accounts(boolean readable) {
        this.readable = readable;
    }

    /** Whether the stored record could be read. */
    public boolean readable() {
        return readable;
    }

    /** What the account of a controller holds. */
    public Amount share(String node) {
        return shares.getOrDefault(node, Amount.NONE);
    }

    /** Controllers whose accounts hold something. */
    public Set<String> holders() {
        return shares.keySet();
    }

    /** What all accounts hold together. */
    public Amount dealt() {
        Amount sum = Amount.NONE;
        for (Amount a : shares.values()) {
            sum = sum.plus(a);
        }
        return sum;
    }

    /** Controllers whose account does not suffice. */
    public Set<String> shortOf() {
        return shortOf;
    }

    /** What a controller has named as its need, or null; one of an older version names none. */
    public Need need(String node) {
        return needs.get(node);
    }

    private Accounts copy() {
        Accounts copy = new Accounts(true);
        copy.shares.putAll(shares);
        copy.shortOf.addAll(shortOf);
        copy.needs.putAll(needs);
        return copy;
    }

    /** The same with another holding of one account. */
    public Accounts with(String node, Amount share) {
        Accounts next = copy();
        if (share.within(Amount.NONE)) {
            next.shares.remove(node);
        } else {
            next.shares.put(node, share);
        }
        return next;
    }

    /** The same after one account has handed something over to another; the sum stays what it was. */
    public Accounts transfer(String from, String to, Amount amount) {
        return with(from, share(from).minus(amount)).with(to, share(to).plus(amount));
    }

    /** The same with a controller named as short, or no longer. */
    public Accounts withShort(String node, boolean isShort) {
        Accounts next = copy();
        if (isShort) {
            next.shortOf.add(node);
        } else {
            next.shortOf.remove(node);
            next.needs.remove(node);
        }
        return next;
    }

    /** The same with a controller named as short of an amount. */
    public Accounts withNeed(String node, Need need) {
        Accounts next = withShort(node, true);
        next.needs.put(node, need);
        return next;
    }

    /** The stored value. */
    public JsonObject toJson() {
        JsonObject all = new JsonObject();
        shares.forEach((node, amount) -> all.add(node, pair(amount)));
        JsonArray names = new JsonArray();
        shortOf.forEach(names::add);
        JsonObject o = new JsonObject();
        o.add(SHARES, all);
        o.add(SHORT, names);
        if (!needs.isEmpty()) {
            JsonObject named = new JsonObject();
            needs.forEach((node, need) -> {
                JsonArray value = pair(need.amount());
                value.add(need.sinceMillis());
                named.add(node, value);
            });
            o.add(NEEDS, named);
        }
        return o;
    }

    private static JsonArray pair(Amount amount) {
        JsonArray pair = new JsonArray();
        pair.add(amount.cpus());
        pair.add(amount.cards());
        return pair;
    }

    /** Reads a stored value. */
    public static Accounts parse(JsonObject o) throws Json.BadMessage {
        Accounts accounts = new Accounts(true);
        try {
            for (Map.Entry<String, JsonElement> e : Json.child(o, SHARES).entrySet()) {
                accounts.shares.put(e.getKey(), amount(e.getValue().getAsJsonArray()));
            }
            if (Json.has(o, NEEDS)) {
                for (Map.Entry<String, JsonElement> e : Json.child(o, NEEDS).entrySet()) {
                    JsonArray value = e.getValue().getAsJsonArray();
                    accounts.needs.put(e.getKey(), new Need(value.get(2).getAsLong(), amount(value)));
                }
            }
        } catch (IllegalStateException
                | UnsupportedOperationException
                | NumberFormatException
                | IndexOutOfBoundsException e) {
            throw new Json.BadMessage("accounts of a limit can't be read");
        }
        accounts.shortOf.addAll(Json.texts(o, SHORT));
        // An older version takes a name off the list and does not know of its need.
        accounts.needs.keySet().retainAll(accounts.shortOf);
        return accounts;
    }

    private static Amount amount(JsonArray pair) throws Json.BadMessage {
        Amount amount = new Amount(pair.get(0).getAsDouble(), pair.get(1).getAsDouble());
        if (!Amount.NONE.within(amount) || !Double.isFinite(amount.cpus() + amount.cards())) {
            throw new Json.BadMessage("an account holds " + amount);
        }
        return amount;
    }
}
