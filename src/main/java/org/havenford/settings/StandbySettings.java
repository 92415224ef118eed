package org.havenford.settings;

import java.time.Duration;

/**
 * How a warm standby follows its peers: how often they tell that they are alive, after which silence one is suspected, how
 * long it then has to object through the state service, and what may wait to be sent to a slow peer.
 */
public record StandbySettings(
        boolean enabled, Duration heartbeat, Duration suspectAfter, Duration probeWindow, int bufferBytes) {

    /** No standby; the other values are the defaults that hold once it is switched on. */
    public static final StandbySettings OFF = new StandbySettings(
            false, Duration.ofMillis(200), Duration.ofMillis(800), Duration.ofMillis(500), 256 * 1024);

    StandbySettings enabled(boolean on) {
        return new StandbySettings(on, heartbeat, suspectAfter, probeWindow, bufferBytes);
    }

    StandbySettings withHeartbeat(Duration every) {
        return new StandbySettings(enabled, every, suspectAfter, probeWindow, bufferBytes);
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

    /** Whether a peer that is alive can be heard in time: a silence must be longer than two heartbeats. */
    public boolean isConsistent() {
        return suspectAfter.compareTo(heartbeat.multipliedBy(2)) > 0;
    }
}
