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
 * The division of a team's limit among the controllers. A controller's share is the amount of CPUs and GPUs that the
 * claims charged to it may use. The shares never add up to more than the limit, and any controller may extend its share
 * from the unallocated rest. A controller that finds too little unallocated is listed as starved, so that others return
 * unused parts of their shares.
 */
public final class TeamQuota {
    /** An amount of CPUs and GPUs. */
    public record Resources(double cpus, double gpus) {
        /** No CPUs and no GPUs. */
        public static final Resources NONE = new Resources(0, 0);
        /** Compensates for rounding errors in sums of shares. */
        private static final double TOLERANCE = 1e-6;

        /** Returns the sum of both amounts. */
        public Resources plus(Resources other) {
            return new Resources(cpus + other.cpus, gpus + other.gpus);
        }

        /** Returns this amount minus the other. */
        public Resources minus(Resources other) {
            return new Resources(cpus - other.cpus, gpus - other.gpus);
        }

        /** Returns this amount multiplied by a factor. */
        public Resources times(double factor) {
            return new Resources(cpus * factor, gpus * factor);
        }

        /** Returns the smaller number of CPUs and the smaller number of GPUs. */
        public Resources min(Resources other) {
            return new Resources(Math.min(cpus, other.cpus), Math.min(gpus, other.gpus));
        }

        /** Returns the larger number of CPUs and the larger number of GPUs. */
        public Resources max(Resources other) {
            return new Resources(Math.max(cpus, other.cpus), Math.max(gpus, other.gpus));
        }

        /** Returns whether neither the CPUs nor the GPUs exceed those of the other amount. */
        public boolean fitsWithin(Resources other) {
            return cpus <= other.cpus + TOLERANCE && gpus <= other.gpus + TOLERANCE;
        }
    }

    // Names of stored fields. Versions in production read and write them, so they must not change.
    private static final String SHARES = "shares";
    private static final String STARVED_HOLDERS = "short";

    private final TreeMap<String, Resources> shares = new TreeMap<>();
    private final TreeSet<String> starvedHolders = new TreeSet<>();

    /** Returns the share of a controller. */
    public Resources share(String node) {
        return shares.getOrDefault(node, Resources.NONE);
    }

    /** Returns the controllers that hold a share. */
    public Iterable<String> holders() {
        return shares.keySet();
    }

    /** Returns the sum of all shares. */
    public Resources allocated() {
        Resources sum = Resources.NONE;
        for (Resources share : shares.values()) {
            sum = sum.plus(share);
        }
        return sum;
    }

    /** Returns the controllers whose share is too small and could not be extended. */
    public Set<String> starvedHolders() {
        return starvedHolders;
    }

    private TeamQuota copy() {
        TeamQuota copy = new TeamQuota();
        copy.shares.putAll(shares);
        copy.starvedHolders.addAll(starvedHolders);
        return copy;
    }

    /** Returns the quota with another share for one controller. */
    public TeamQuota withShare(String node, Resources share) {
        TeamQuota changed = copy();
        if (share.fitsWithin(Resources.NONE)) {
            changed.shares.remove(node);
        } else {
            changed.shares.put(node, share);
        }
        return changed;
    }

    /** Returns the quota with a controller listed as starved, or no longer listed. */
    public TeamQuota withStarved(String node, boolean starved) {
        TeamQuota changed = copy();
        if (starved) {
            changed.starvedHolders.add(node);
        } else {
            changed.starvedHolders.remove(node);
        }
        return changed;
    }

    /** Returns the value to store. */
    public JsonObject toJson() {
        JsonObject sharesByNode = new JsonObject();
        shares.forEach((node, share) -> {
            JsonArray pair = new JsonArray();
            pair.add(share.cpus);
            pair.add(share.gpus);
            sharesByNode.add(node, pair);
        });
        JsonArray starvedNodes = new JsonArray();
        starvedHolders.forEach(starvedNodes::add);
        JsonObject json = new JsonObject();
        json.add(SHARES, sharesByNode);
        json.add(STARVED_HOLDERS, starvedNodes);
        return json;
    }

    /** Parses a stored value. */
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
            throw new MalformedMessageException(
                    SHARES + " must map each controller to a pair of numbers: " + e.getMessage());
        }
        quota.starvedHolders.addAll(Json.texts(json, STARVED_HOLDERS));
        return quota;
    }
}
