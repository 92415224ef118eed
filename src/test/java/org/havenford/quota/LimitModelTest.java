package org.havenford.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/**
 * Every order of events of a small model: three controllers, one slot, transactions that are carried out late, copies of the
 * store that lag, tasks that end, and one controller that ends. The rules by which accounts are used are the real ones.
 */
class LimitModelTest {
    private static final List<String> NODES = List.of("a", "b", "c");
    private static final Amount SLOT = new Amount(1, 0);
    private static final AccountPolicy POLICY = new AccountPolicy(SLOT, NODES.size(), true);
    private static final int MOST_SENT = 3;
    private static final int MOST_DECISIONS = 4;

    /** What a test leaves out to see that the search finds what it guards against. */
    private enum Missing {
        NOTHING,
        VIEW_GUARD_OF_CLAIMS,
        UNANSWERED_CHANGES_COUNT,
        UNANSWERED_CLAIMS_COUNT
    }

    /** The record as it stands in the store or in a copy: accounts, its stamp, and claims by controller. */
    private record Copy(String accounts, int stamp, int view, List<Integer> claims) {}

    /** A transaction on its way: a claim, or a change of the accounts, or both. */
    private record Sent(int node, boolean claim, String accounts, int guardStamp, int guardView) {}

    /** Everything that there is. {@code alive} tells which controllers have not ended; the dead one is out of the view. */
    private record State(Copy store, List<Copy> copies, List<Sent> sent, List<Boolean> alive, int decisions) {}

    private static Accounts parse(String json) {
        try {
            return Accounts.parse(org.havenford.protocol.Json.object(json));
        } catch (org.havenford.protocol.Json.BadMessage e) {
            throw new AssertionError(e);
        }
    }

    private static State start() {
        Copy copy = new Copy(Accounts.EMPTY.with("a", SLOT).toJson().toString(), 1, 1, List.of(0, 0, 0));
        return new State(copy, List.of(copy, copy, copy), List.of(), List.of(true, true, true), 0);
    }

    private static <T> List<T> replaced(List<T> list, int index, T value) {
        List<T> next = new ArrayList<>(list);
        next.set(index, value);
        return List.copyOf(next);
    }

    private static Amount held(State state, int node, Missing missing) {
        long inFlight =
                state.sent().stream().filter(s -> s.node() == node && s.claim()).count();
        int charged = state.copies().get(node).claims().get(node);
        return SLOT.times(charged + (missing == Missing.UNANSWERED_CLAIMS_COUNT ? 0 : inFlight));
    }

    private static boolean mayBeLowered(State state, int node, Missing missing) {
        return missing != Missing.UNANSWERED_CHANGES_COUNT
                && state.sent().stream().anyMatch(s -> s.node() == node && !s.claim());
    }

    private static List<State> successors(State state, Missing missing) {
        List<State> next = new ArrayList<>();
        for (int node = 0; node < NODES.size(); node++) {
            if (state.alive().get(node)) {
                decide(state, node, missing, next);
                next.add(new State(
                        state.store(),
                        replaced(state.copies(), node, state.store()),
                        state.sent(),
                        state.alive(),
                        state.decisions()));
            }
            endTask(state, node, next);
        }
        for (Sent sent : state.sent()) {
            next.add(carriedOut(state, sent, missing));
        }
        if (state.alive().get(0)) {
            next.add(ended(state));
        }
        return next;
    }

    /** A controller claims if its account allows, and else names its need or hands over. */
    private static void decide(State state, int node, Missing missing, List<State> next) {
        if (state.sent().size() >= MOST_SENT || state.decisions() >= MOST_DECISIONS) {
            return;
        }
        Copy copy = state.copies().get(node);
        Accounts accounts = parse(copy.accounts());
        String self = NODES.get(node);
        Amount held = held(state, node, missing);
        if (!mayBeLowered(state, node, missing)) {
            AccountPolicy.Grant grant = POLICY.grant(accounts, self, held, SLOT, 1);
            if (grant.allowed() == 1) {
                String written =
                        grant.next() == null ? null : grant.next().toJson().toString();
                next.add(send(state, new Sent(node, true, written, copy.stamp(), copy.view())));
            }
        }
        for (Accounts.Need need : new Accounts.Need[] {null, new Accounts.Need(0, SLOT)}) {
            AccountPolicy.Self asker = new AccountPolicy.Self(self, held, need, 10_000);
            Accounts settled = POLICY.settle(
                    accounts, asker, other -> SLOT.times(copy.claims().get(NODES.indexOf(other))));
            if (settled != accounts) {
                String written = settled.toJson().toString();
                next.add(send(state, new Sent(node, false, written, copy.stamp(), copy.view())));
            }
        }
    }

    private static State send(State state, Sent sent) {
        List<Sent> all = new ArrayList<>(state.sent());
        all.add(sent);
        return new State(state.store(), state.copies(), List.copyOf(all), state.alive(), state.decisions() + 1);
    }

    /** The end of a task is proven by its worker, and released by whoever owns the machine. */
    private static void endTask(State state, int node, List<State> next) {
        Copy store = state.store();
        int claims = store.claims().get(node);
        if (claims > 0) {
            Copy released =
                    new Copy(store.accounts(), store.stamp(), store.view(), replaced(store.claims(), node, claims - 1));
            next.add(new State(released, state.copies(), state.sent(), state.alive(), state.decisions()));
        }
    }

    /** Now or late; its sender learns of it, as the answer or with its copy. */
    private static State carriedOut(State state, Sent sent, Missing missing) {
        Copy store = state.store();
        boolean viewHolds = sent.guardView() == store.view()
                || missing == Missing.VIEW_GUARD_OF_CLAIMS && sent.claim() && sent.accounts() == null;
        boolean recordHolds = sent.accounts() == null || sent.guardStamp() == store.stamp();
        Copy after = store;
        if (viewHolds && recordHolds) {
            int node = sent.node();
            int claims = store.claims().get(node) + (sent.claim() ? 1 : 0);
            after = new Copy(
                    sent.accounts() == null ? store.accounts() : sent.accounts(),
                    sent.accounts() == null ? store.stamp() : store.stamp() + 1,
                    store.view(),
                    replaced(store.claims(), node, claims));
        }
        List<Sent> left = new ArrayList<>(state.sent());
        left.remove(sent);
        List<Copy> copies =
                state.alive().get(sent.node()) ? replaced(state.copies(), sent.node(), after) : state.copies();
        return new State(after, copies, List.copyOf(left), state.alive(), state.decisions());
    }

    /** Controller a ends: the view changes, and b, whose copy has passed the view, takes a's account down to its charge. */
    private static State ended(State state) {
        Copy store = state.store();
        Accounts accounts = parse(store.accounts());
        Amount charged = SLOT.times(store.claims().get(0));
        Accounts taken = accounts.with("a", charged.least(accounts.share("a"))).withShort("a", false);
        Copy after = new Copy(taken.toJson().toString(), store.stamp() + 1, store.view() + 1, store.claims());
        return new State(
                after,
                replaced(state.copies(), 1, after),
                state.sent(),
                replaced(state.alive(), 0, false),
                state.decisions());
    }

    /** States that can be reached, up to the first in which something holds. */
    private static int search(Missing missing, Predicate<State> wrong) {
        Set<State> seen = new HashSet<>(List.of(start()));
        ArrayDeque<State> open = new ArrayDeque<>(seen);
        while (!open.isEmpty()) {
            for (State next : successors(open.poll(), missing)) {
                if (wrong.test(next)) {
                    return -seen.size();
                }
                if (seen.add(next)) {
                    open.add(next);
                }
            }
        }
        return seen.size();
    }

    private static boolean overshoots(State state) {
        int claims = state.store().claims().stream().mapToInt(Integer::intValue).sum();
        return claims > 1 || !parse(state.store().accounts()).dealt().within(SLOT);
    }

    @Test
    void noOrderOfEventsOvershoots() {
        int states = search(Missing.NOTHING, LimitModelTest::overshoots);
        assertTrue(states > 1000, states + " states");
    }

    @Test
    void theSlotCanReachEveryController() {
        for (int node = 0; node < NODES.size(); node++) {
            int of = node;
            assertTrue(search(Missing.NOTHING, state -> state.store().claims().get(of) > 0) < 0);
        }
    }

    @Test
    void theSearchFindsWhatEachGuardIsFor() {
        for (Missing missing : Missing.values()) {
            int result = search(missing, LimitModelTest::overshoots);
            if (missing == Missing.NOTHING) {
                assertTrue(result > 0);
            } else {
                assertTrue(result < 0, missing + " was not missed in " + result + " states");
            }
        }
        assertNotEquals(0, Missing.values().length);
        assertEquals(1, start().store().view());
    }
}
