package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.havenford.protocol.MachineType;

/** Capacity refusals: offers that the cloud had no capacity for lately. They are not requested again for a while. */
final class CapacityRefusals {
    private static final Duration REFUSAL_PERIOD = Duration.ofSeconds(90);

    private final Map<InstanceOffer, Instant> refusedAt = new HashMap<>();

    /** The cloud launched fewer machines than were requested. */
    void refused(InstanceOffer offer, Instant now) {
        refusedAt.put(offer, now);
    }

    /** A machine was returned: the offer has capacity again. */
    void available(InstanceOffer offer) {
        refusedAt.remove(offer);
    }

    /** Whether an offer was refused lately. */
    boolean wasRefusedLately(InstanceOffer offer, Instant now) {
        Instant time = refusedAt.get(offer);
        return time != null && now.isBefore(time.plus(REFUSAL_PERIOD));
    }

    /** Whether an instance kind was refused lately in every zone. */
    boolean isRefusedEverywhere(InstanceKind kind, MachineType type, Instant now) {
        return type.zones().stream().allMatch(zone -> wasRefusedLately(new InstanceOffer(kind, zone), now));
    }
}
