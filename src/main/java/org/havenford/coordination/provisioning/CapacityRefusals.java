package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.havenford.protocol.MachineType;

/** Tracks the offers for which the cloud recently had no capacity, so that they are not requested again for a while. */
final class CapacityRefusals {
    private static final Duration REFUSAL_PERIOD = Duration.ofSeconds(90);

    private final Map<InstanceOffer, Instant> refusedAt = new HashMap<>();

    /** Records that the cloud launched fewer machines than requested, or none. */
    void recordRefusal(InstanceOffer offer, Instant now) {
        refusedAt.put(offer, now);
    }

    /** Clears the refusal of an offer, which has capacity again because one of its machines was returned. */
    void clearRefusal(InstanceOffer offer) {
        refusedAt.remove(offer);
    }

    /** Returns whether the cloud refused an offer within the refusal period. */
    boolean wasRecentlyRefused(InstanceOffer offer, Instant now) {
        Instant refusal = refusedAt.get(offer);
        return refusal != null && now.isBefore(refusal.plus(REFUSAL_PERIOD));
    }

    /** Returns whether the cloud recently refused an instance kind in every zone of its type. */
    boolean isRefusedInAllZones(InstanceKind kind, MachineType type, Instant now) {
        return type.zones().stream().allMatch(zone -> wasRecentlyRefused(new InstanceOffer(kind, zone), now));
    }
}
