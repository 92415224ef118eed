package org.havenford.storage.records;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;

/**
 * A team's limit, dealt out to the controllers: CPUs and GPUs that the claims charged to each may take. The shares never
 * add up to more than the limit; what nobody holds is free to be taken. Who finds nothing free is named as starved, so that
 * others give back what they can spare.
 */
public final class TeamQuota {
    /** An amount of CPUs and GPUs. */
    public record Resources(double cpus, double gpus) {
        /** Nothing. */
        public static final Resources NONE = new Resources(0, 0);
        /** Sums of shares are not exact. */
        private static final double TOLERANCE = 1e-6;

        /** The sum. */
        public Resources plus(Resources other) {
            return new Resources(cpus + other.cpus, gpus + other.gpus);
        }

        /** The difference. */
        public Resources minus(Resources other) {
            return new Resources(cpus - other.cpus, gpus - other.gpus);
        }

        /** A multiple. */
        public Resources times(double factor) {
            return new Resources(cpus * factor, gpus * factor);
        }

        /** The smaller of both in each part. */
        public Resources min(Resources other) {
            return new Resources(Math.min(cpus, other.cpus), Math.min(gpus, other.gpus));
        }

        /** The larger of both in each part. */
        public Resources max(Resources other) {
            return new Resources(Math.max(cpus, other.cpus), Math.max(gpus, other.gpus));
        }

        /** Whether no part exceeds the other's. */
        public boolean within(Resources other) {
            return cpus <= other.cpus + TOLERANCE && gpus <= other.gpus + TOLERANCE;
        }
    }

    // Stored field names; versions in production read and write them, so they must not change.
    private static final String SHARES = "shares";
    private static final String STARVED_HOLDERS = "short";

    private final TreeMap<String, Resources> shares = new TreeMap<>();
    private final TreeSet<String> starvedHolders = new TreeSet<>();

    /** The share of a controller. */
    public Resources share(String node) {
        return shares.getOrDefault(node, Resources.NONE);
    }

    /** Controllers that hold a share. */
    public Iterable<String> holders() {
        return shares.keySet();
    }

    /** The sum of all shares. */
    public Resources allocated() {
        Resources sum = Resources.NONE;
        for (Resources amount : shares.values()) {
            sum = sum.plus(amount);
        }
        return sum;
    }

    /** Controllers whose share does not suffice. */
    public Set<String> starvedHolders() {
        return starvedHolders;
    }

    private TeamQuota copy() {
        TeamQuota copy = new TeamQuota();
        copy.shares.putAll(shares);
        copy.starvedHolders.addAll(starvedHolders);
        return copy;
    }

    /** The same with another share for one node. */
    public TeamQuota with(String node, Resources share) {
        TeamQuota changed = copy();
        if (share.within(Resources.NONE)) {
            changed.shares.remove(node);
        } else {
            changed.shares.put(node, share);
        }
        return changed;
    }

    /** The same with a node named as starved, or no longer. */
    public TeamQuota withStarved(String node, boolean starved) {
        TeamQuota changed = copy();
        if (starved) {
            changed.starvedHolders.add(node);
        } else {
            changed.starvedHolders.remove(node);
        }
        return changed;
    }

    /** The stored value. */
    public JsonObject toJson() {
        JsonObject all = new JsonObject();
        shares.forEach((node, amount) -> {
            JsonArray pair = new JsonArray();
            pair.add(amount.cpus);
            pair.add(amount.gpus);
            all.add(node, pair);
        });
        JsonArray names = new JsonArray();
        starvedHolders.forEach(names::add);
        JsonObject json = new JsonObject();
        json.add(SHARES, all);
        json.add(STARVED_HOLDERS, names);
        return json;
    }

    /** Reads a stored value. */
    public static TeamQuota parse(JsonObject json) throws MalformedMessageException {
        TeamQuota quota = new TeamQuota();
        try {
            for (Map.Entry<String, JsonElement> entry : Json.child(json, SHARES).entrySet()) {
                JsonArray pair = entry.getValue().getAsJsonArray();
                quota.shares.put(
                        entry.getKey(),
                        new Resources(pair.get(0).getAsDouble(), pair.get(1).getAsDouble()));
            }
        } catch (IllegalStateException | NumberFormatException | IndexOutOfBoundsException e) {
            throw new MalformedMessageException(SHARES + " is not a map of pairs of numbers");
        }
        quota.starvedHolders.addAll(Json.texts(json, STARVED_HOLDERS));
        return quota;
    }
}
