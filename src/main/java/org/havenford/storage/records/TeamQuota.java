package org.havenford.storage.records;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.havenford.protocol.Json;

/**
 * A team's limit, dealt out to the controllers: CPUs and cards that the claims charged to each may take. The shares never
 * add up to more than the limit; what nobody holds is free to be taken. Who finds nothing free is named as short, so that
 * others give back what they can spare.
 */
public final class TeamQuota {
    /** An amount of CPUs and cards. */
    public record Resources(double cpus, double cards) {
        public static final Resources NONE = new Resources(0, 0);
        private static final double GRAIN = 1e-6;

        /** The sum. */
        public Resources plus(Resources o) {
            return new Resources(cpus + o.cpus, cards + o.cards);
        }

        /** The difference. */
        public Resources minus(Resources o) {
            return new Resources(cpus - o.cpus, cards - o.cards);
        }

        /** A multiple. */
        public Resources times(double n) {
            return new Resources(cpus * n, cards * n);
        }

        /** The smaller of both in each part. */
        public Resources least(Resources o) {
            return new Resources(Math.min(cpus, o.cpus), Math.min(cards, o.cards));
        }

        /** The larger of both in each part. */
        public Resources most(Resources o) {
            return new Resources(Math.max(cpus, o.cpus), Math.max(cards, o.cards));
        }

        /** Whether no part exceeds the other's. */
        public boolean within(Resources o) {
            return cpus <= o.cpus + GRAIN && cards <= o.cards + GRAIN;
        }
    }

    private static final String SHARES = "shares";
    private static final String SHORT = "short";

    private final TreeMap<String, Resources> shares = new TreeMap<>();
    private final TreeSet<String> shortOf = new TreeSet<>();

    /** The share of a controller. */
    public Resources share(String node) {
        return shares.getOrDefault(node, Resources.NONE);
    }

    /** Controllers that hold a share. */
    public Iterable<String> holders() {
        return shares.keySet();
    }

    /** The sum of all shares. */
    public Resources dealt() {
        Resources sum = Resources.NONE;
        for (Resources a : shares.values()) {
            sum = sum.plus(a);
        }
        return sum;
    }

    /** Controllers whose share does not suffice. */
    public Set<String> shortOf() {
        return shortOf;
    }

    private TeamQuota copy() {
        TeamQuota q = new TeamQuota();
        q.shares.putAll(shares);
        q.shortOf.addAll(shortOf);
        return q;
    }

    /** The same with another share for one node. */
    public TeamQuota with(String node, Resources share) {
        TeamQuota q = copy();
        if (share.within(Resources.NONE)) {
            q.shares.remove(node);
        } else {
            q.shares.put(node, share);
        }
        return q;
    }

    /** The same with a node named as short, or no longer. */
    public TeamQuota withShort(String node, boolean isShort) {
        TeamQuota q = copy();
        if (isShort) {
            q.shortOf.add(node);
        } else {
            q.shortOf.remove(node);
        }
        return q;
    }

    /** The stored value. */
    public JsonObject toJson() {
        JsonObject all = new JsonObject();
        shares.forEach((node, a) -> {
            JsonArray pair = new JsonArray();
            pair.add(a.cpus);
            pair.add(a.cards);
            all.add(node, pair);
        });
        JsonArray names = new JsonArray();
        shortOf.forEach(names::add);
        JsonObject o = new JsonObject();
        o.add(SHARES, all);
        o.add(SHORT, names);
        return o;
    }

    /** Reads a stored value. */
    public static TeamQuota parse(JsonObject o) throws Json.BadMessage {
        TeamQuota q = new TeamQuota();
        try {
            for (Map.Entry<String, JsonElement> e : Json.child(o, SHARES).entrySet()) {
                JsonArray pair = e.getValue().getAsJsonArray();
                q.shares.put(
                        e.getKey(),
                        new Resources(pair.get(0).getAsDouble(), pair.get(1).getAsDouble()));
            }
        } catch (IllegalStateException | NumberFormatException | IndexOutOfBoundsException e) {
            throw new Json.BadMessage("shares of a limit can't be read");
        }
        q.shortOf.addAll(Json.texts(o, SHORT));
        return q;
    }
}
