package org.havenford.standby;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.havenford.standby.FrameCodec.Frame;
import org.havenford.standby.PeerMessage.Hello;
import org.havenford.standby.PeerMessage.Intent;
import org.havenford.standby.PeerMessage.Outcome;
import org.havenford.standby.PeerMessage.SnapshotBegin;

/**
 * A model of owner, follower and state service, driven by drawn steps: transactions are carried out late, twice or never,
 * the stream is cut anywhere, the owner ends or stalls, and it is evicted. Whenever the real follower says that it has seen
 * everything, its replica holds every decision that the owner has committed or ever will.
 */
class FailoverModelProperties {
    private static final String SEED = "815";

    private enum Step {
        DECIDE,
        CARRY_OUT,
        CARRY_OUT_AGAIN,
        TELL_OUTCOME,
        CUT_STREAM,
        REPLICATE,
        EVICT
    }

    /** What happens next; the number chooses among what there is. */
    record Action(Step step, int choice) {}

    @Property(seed = SEED, tries = 2000)
    void whoMayDecideHasSeenEveryCommittedDecision(@ForAll("actions") List<Action> actions)
            throws MalformedFrameException {
        new Model(true).play(actions);
    }

    /** The property has teeth: without the guard of the view a late transaction is missed. */
    @Example
    void withoutTheGuardOfTheViewADecisionIsMissed() {
        List<Action> actions = List.of(
                new Action(Step.DECIDE, 0),
                new Action(Step.EVICT, 0),
                new Action(Step.REPLICATE, 1000),
                new Action(Step.CARRY_OUT, 0));
        assertThrows(AssertionError.class, () -> new Model(false).play(actions));
    }

    @Provide
    Arbitrary<List<Action>> actions() {
        Arbitrary<Action> action = Combinators.combine(
                        Arbitraries.of(Step.class), Arbitraries.integers().between(0, 1000))
                .as(Action::new);
        return action.list().ofMaxSize(60);
    }

    private static final class Model {
        private record Transaction(long number, long viewStamp, boolean[] told) {}

        private final boolean guardedByView;
        private final List<Transaction> sent = new ArrayList<>();
        private final List<long[]> outcomes = new ArrayList<>();
        private final List<Long> committedEditions = new ArrayList<>();
        private long edition = 10;
        private long viewStamp = 10;
        private long replicaEdition = 10;
        private boolean evicted;
        private Follower follower = new Follower();
        private long sequence;
        private long decisions;

        Model(boolean guardedByView) {
            this.guardedByView = guardedByView;
        }

        void play(List<Action> actions) throws MalformedFrameException {
            connect();
            for (Action action : actions) {
                act(action);
                check();
            }
        }

        private void act(Action action) throws MalformedFrameException {
            switch (action.step()) {
                case DECIDE -> decide();
                case CARRY_OUT -> carryOut(action.choice(), true);
                case CARRY_OUT_AGAIN -> carryOut(action.choice(), false);
                case TELL_OUTCOME -> tellOutcome(action.choice());
                case CUT_STREAM -> connect();
                case REPLICATE -> replicaEdition += Math.min(action.choice(), edition - replicaEdition);
                default -> evict();
            }
        }

        private void connect() throws MalformedFrameException {
            follower = new Follower();
            sequence = 0;
            tell(new Hello("node-0", 1));
            tell(new SnapshotBegin());
        }

        /** The owner may not know yet that it was evicted. */
        private void decide() throws MalformedFrameException {
            decisions++;
            tell(new Intent(decisions, List.of("live/tasks/j-1/" + decisions)));
            sent.add(new Transaction(decisions, 10, new boolean[1]));
        }

        private void carryOut(int choice, boolean once) {
            if (sent.isEmpty()) {
                return;
            }
            Transaction transaction = sent.get(choice % sent.size());
            if (once) {
                sent.remove(transaction);
            }
            boolean committed = !guardedByView || transaction.viewStamp() == viewStamp;
            if (committed) {
                edition++;
                committedEditions.add(edition);
            }
            outcomes.add(new long[] {transaction.number(), committed ? edition : 0});
        }

        private void tellOutcome(int choice) throws MalformedFrameException {
            if (!outcomes.isEmpty()) {
                long[] outcome = outcomes.remove(choice % outcomes.size());
                tell(new Outcome(outcome[0], true, outcome[1]));
            }
        }

        private void evict() {
            if (!evicted) {
                evicted = true;
                edition++;
                viewStamp = edition;
            }
        }

        private void tell(PeerMessage message) throws MalformedFrameException {
            ByteBuffer bytes = FrameCodec.encode(message, sequence++);
            for (Frame frame : new FrameDecoder().feed(bytes)) {
                follower.apply(frame);
            }
        }

        private void check() {
            if (evicted && follower.replicaContainsAllCommits(replicaEdition, viewStamp)) {
                for (long committed : committedEditions) {
                    assertTrue(committed <= replicaEdition, "a decision of edition " + committed + " was not seen");
                }
            }
        }
    }
}
