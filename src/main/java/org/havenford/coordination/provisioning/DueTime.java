package org.havenford.coordination.provisioning;

import java.time.Instant;

/** When something that recurs is due again; it is due at once to begin with. */
final class DueTime {
    /** Null while due at once. */
    private Instant next;

    /** Whether it is due. */
    boolean isReached(Instant now) {
        return next == null || !now.isBefore(next);
    }

    /** It is not due before {@code time}. */
    void postponeTo(Instant time) {
        next = time;
    }

    /** It is due at once. */
    void reset() {
        next = null;
    }
}
