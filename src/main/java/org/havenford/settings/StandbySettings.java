package org.havenford.settings;

import java.time.Duration;

/**
 * Settings of the warm standby.
 *
 * @param heartbeat how often peers send each other a heartbeat
 * @param suspectAfter how long a peer must be silent to be suspected
 * @param probeWindow how long a suspected peer has to answer a liveness probe in the store
 * @param bufferBytes maximum size of the data that waits to be sent to a slow peer, before its connection is closed
 */
public record StandbySettings(
        boolean enabled, Duration heartbeat, Duration suspectAfter, Duration probeWindow, int bufferBytes) {

    /** A disabled standby; the other values are the defaults for when it is enabled. */
    public static final StandbySettings OFF = new StandbySettings(
            false, Duration.ofMillis(200), Duration.ofMillis(800), Duration.ofMillis(500), 256 * 1024);

    StandbySettings withEnabled(boolean value) {
        return new StandbySettings(value, heartbeat, suspectAfter, probeWindow, bufferBytes);
    }

    StandbySettings withHeartbeat(Duration interval) {
        return new StandbySettings(enabled, interval, suspectAfter, probeWindow, bufferBytes);
    }

    StandbySettings withSuspectAfter(Duration silence) {
        return new StandbySettings(enabled, heartbeat, silence, probeWindow, bufferBytes);
    }

    StandbySettings withProbeWindow(Duration window) {
        return new StandbySettings(enabled, heartbeat, suspectAfter, window, bufferBytes);
    }

    StandbySettings withBufferBytes(int bytes) {
        return new StandbySettings(enabled, heartbeat, suspectAfter, probeWindow, bytes);
    }

    /**
     * Returns whether a live peer can be heard before it is suspected: suspectAfter must exceed two heartbeat
     * intervals.
     */
    public boolean isConsistent() {
        return suspectAfter.compareTo(heartbeat.multipliedBy(2)) > 0;
    }
}
