package org.havenford.coordination.provisioning;

import java.time.Instant;

/** The time at which a recurring action is due next. The action is due immediately until it is first postponed. */
final class DueTime {
    /** Null if the action is due immediately. */
    private Instant next;

    /** Returns whether the action is due at {@code now}. */
    boolean isReached(Instant now) {
        return next == null || !now.isBefore(next);
    }

    /** Postpones the action until {@code time}. */
    void postponeTo(Instant time) {
        next = time;
    }

    /** Makes the action due immediately. */
    void reset() {
        next = null;
    }
}
