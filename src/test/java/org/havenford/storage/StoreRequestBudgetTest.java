package org.havenford.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests how a controller's share of the store's limits adapts to exhaustion and refusals. */
class StoreRequestBudgetTest {
    private static final Instant START = Instant.EPOCH;
    private static final StoreLimits LIMITS = new StoreLimits(100, 20, 10);

    private final StoreRequestBudget budget = new StoreRequestBudget(LIMITS, 4, START);

    @Test
    void anExhaustedShareGrowsOnceASecond() {
        budget.markExhausted();
        budget.adjust(START.plusMillis(999));
        assertEquals(1, budget.share());
        budget.adjust(START.plusSeconds(1));
        assertEquals(1.15, budget.share(), 1e-9);
        budget.adjust(START.plusSeconds(2));
        assertEquals(
                1.15 * 0.97,
                budget.share(),
                1e-9,
                "the share returns towards an even one if it was not exhausted again");
    }

    @Test
    void refusalsShrinkTheShareOnceASecondDownToTheMinimum() {
        budget.recordRefusal(START);
        budget.recordRefusal(START.plusMillis(500));
        assertEquals(0.75, budget.share(), 1e-9);
        for (int second = 2; second < 20; second += 2) {
            budget.recordRefusal(START.plusSeconds(second));
        }
        assertEquals(0.7 * 10 / 20, budget.share(), 1e-9);
    }

    @Test
    void theShareDoesNotGrowSoonAfterARefusal() {
        budget.recordRefusal(START);
        budget.markExhausted();
        budget.adjust(START.plusSeconds(2));
        assertEquals(0.75, budget.share(), 1e-9);
        budget.markExhausted();
        budget.adjust(START.plusMillis(3001));
        assertEquals(0.75 * 1.15, budget.share(), 1e-9);
    }

    @Test
    void aRefusalDelaysLeaseCallsBrieflyAndOtherCallsLongerEachTime() {
        assertTrue(permits(CallPriority.WATCH, START));
        budget.recordRefusal(START);
        assertFalse(permits(CallPriority.LEASE, START.plusMillis(59)));
        assertTrue(permits(CallPriority.LEASE, START.plusMillis(60)));
        assertFalse(permits(CallPriority.WATCH, START.plusMillis(99)));
        assertTrue(permits(CallPriority.WATCH, START.plusMillis(100)));
        budget.recordRefusal(START);
        assertFalse(permits(CallPriority.WATCH, START.plusMillis(199)));
        budget.resetBackOff();
        budget.recordRefusal(START);
        assertTrue(permits(CallPriority.WATCH, START.plusMillis(100)));
    }

    @Test
    void callsOfLowerPriorityLeaveAPartOfTheBudgetToUsers() {
        StoreRequestBudget alone = new StoreRequestBudget(new StoreLimits(100, 20, 20), 1, START);
        Instant now = START.plus(Duration.ofMillis(1));
        alone.take(12);
        assertFalse(alone.permits(CallPriority.WORK, 1, false, now));
        assertTrue(alone.permits(CallPriority.CLAIM, 1, false, now));
        assertTrue(alone.permits(CallPriority.USER, 1, false, now));
        assertFalse(alone.permits(CallPriority.USER, 1, true, now), "calls of a higher priority wait");
    }

    private boolean permits(CallPriority priority, Instant now) {
        return budget.permits(priority, 0, false, now);
    }
}
