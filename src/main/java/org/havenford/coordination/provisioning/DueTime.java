package org.havenford.coordination.provisioning;

import java.time.Instant;

/** The time at which a recurring action is due next. The action is due immediately until it is first postponed. */
final class DueTime {
    /** Null if the action is due immediately. */
    private Instant nextAt;

    /** Returns whether the action is due at {@code now}. */
    boolean isReached(Instant now) {
        return nextAt == null || !now.isBefore(nextAt);
    }

    /** Postpones the action until {@code time}. */
    void postponeTo(Instant time) {
        nextAt = time;
    }

    /** Makes the action due immediately. */
    void reset() {
        nextAt = null;
    }
}
