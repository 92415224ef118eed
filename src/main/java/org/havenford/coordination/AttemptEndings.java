package org.havenford.coordination;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.havenford.bookkeeping.Claim;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Attempts that ended and whose claims are still in the store. By claim, not by task: an end must never be taken for that
 * of a later attempt.
 */
final class AttemptEndings {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptEndings.class);

    private final Map<Claim, Ending> endings = new LinkedHashMap<>();
    private final Consumer<String> changed;

    /** {@code changed} is told of machines on which an attempt has ended. */
    AttemptEndings(Consumer<String> changed) {
        this.changed = changed;
    }

    /** Notes the end of an attempt; the first end counts. */
    void end(Claim claim, Ending ending) {
        if (endings.putIfAbsent(claim, ending) == null) {
            changed.accept(claim.machine());
            LOG.debug("{} attempt {} on {} ended: {}", claim.task(), claim.attempt(), claim.machine(), ending);
        }
    }

    boolean contains(Claim claim) {
        return endings.containsKey(claim);
    }

    /** Forgets the ends of claims that are no longer held. */
    void keepOnly(Predicate<Claim> held) {
        endings.keySet().removeIf(held.negate());
    }

    /** All ends, by claim. */
    Map<Claim, Ending> all() {
        return endings;
    }
}
