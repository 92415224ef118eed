package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.havenford.protocol.MachineType;

/** Offers that the cloud had no capacity for lately; they are not asked for again for a while. */
final class CapacityRefusals {
    private static final Duration REFUSAL_HOLDS = Duration.ofSeconds(90);

    private final Map<InstanceOffer, Instant> refused = new HashMap<>();

    /** The cloud gave less than was asked for. */
    void refused(InstanceOffer offer, Instant now) {
        refused.put(offer, now);
    }

    /** What went back can be had again. */
    void available(InstanceOffer offer) {
        refused.remove(offer);
    }

    /** Whether an offer was refused lately. */
    boolean wasRefusedLately(InstanceOffer offer, Instant now) {
        Instant at = refused.get(offer);
        return at != null && now.isBefore(at.plus(REFUSAL_HOLDS));
    }

    /** Whether a kind of machine was refused in every zone. */
    boolean isRefusedEverywhere(InstanceKind kind, MachineType type, Instant now) {
        return type.zones().stream().allMatch(zone -> wasRefusedLately(new InstanceOffer(kind, zone), now));
    }
}
