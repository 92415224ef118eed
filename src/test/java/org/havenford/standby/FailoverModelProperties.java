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
 * Model-based test of an owner, a follower and the store with random steps: transactions are executed late, twice or never,
 * the connection is lost at any point, and the owner stalls, ends or is evicted. Whenever {@link Follower} reports that the
 * replica contains all commits, the replica contains every decision that the owner has committed or will commit.
 */
class FailoverModelProperties {
    private static final String SEED = "815";

    private enum Step {
        DECIDE,
        EXECUTE,
        EXECUTE_AND_KEEP,
        REPORT_OUTCOME,
        RECONNECT,
        REPLICATE,
        EVICT
    }

    /** A step of the model. The choice selects a transaction or an outcome, or is the most revisions to replicate. */
    record Action(Step step, int choice) {}

    @Property(seed = SEED, tries = 2000)
    void replicaReportedCompleteContainsEveryCommit(@ForAll("actions") List<Action> actions)
            throws MalformedFrameException {
        new Model(true).run(actions);
    }

    /** Shows that the property can fail: without a condition on the view, the replica misses a late transaction. */
    @Example
    void commitIsMissedWithoutConditionOnTheView() {
        List<Action> actions = List.of(
                new Action(Step.DECIDE, 0),
                new Action(Step.EVICT, 0),
                new Action(Step.REPLICATE, 1000),
                new Action(Step.EXECUTE, 0));
        assertThrows(AssertionError.class, () -> new Model(false).run(actions));
    }

    @Provide
    Arbitrary<List<Action>> actions() {
        Arbitrary<Action> action = Combinators.combine(
                        Arbitraries.of(Step.class), Arbitraries.integers().between(0, 1000))
                .as(Action::new);
        return action.list().ofMaxSize(60);
    }

    private static final class Model {
        private record Transaction(long number, long viewRevision, boolean[] reported) {}

        private final boolean conditionalOnView;
        private final List<Transaction> pending = new ArrayList<>();
        private final List<long[]> outcomes = new ArrayList<>();
        private final List<Long> committedRevisions = new ArrayList<>();
        private long revision = 10;
        private long viewRevision = 10;
        private long replicaRevision = 10;
        private boolean evicted;
        private Follower follower = new Follower();
        private long sequence;
        private long decisions;

        Model(boolean conditionalOnView) {
            this.conditionalOnView = conditionalOnView;
        }

        void run(List<Action> actions) throws MalformedFrameException {
            connect();
            for (Action action : actions) {
                apply(action);
                check();
            }
        }

        private void apply(Action action) throws MalformedFrameException {
            switch (action.step()) {
                case DECIDE -> decide();
                case EXECUTE -> execute(action.choice(), true);
                case EXECUTE_AND_KEEP -> execute(action.choice(), false);
                case REPORT_OUTCOME -> reportOutcome(action.choice());
                case RECONNECT -> connect();
                case REPLICATE -> replicaRevision += Math.min(action.choice(), revision - replicaRevision);
                default -> evict();
            }
        }

        private void connect() throws MalformedFrameException {
            follower = new Follower();
            sequence = 0;
            send(new Hello("node-0", 1));
            send(new SnapshotBegin());
        }

        /** Sends a transaction conditional on the first view, as the owner may not know yet that it was evicted. */
        private void decide() throws MalformedFrameException {
            decisions++;
            send(new Intent(decisions, List.of("live/tasks/j-1/" + decisions)));
            pending.add(new Transaction(decisions, 10, new boolean[1]));
        }

        private void execute(int choice, boolean remove) {
            if (pending.isEmpty()) {
                return;
            }
            Transaction transaction = pending.get(choice % pending.size());
            if (remove) {
                pending.remove(transaction);
            }
            boolean committed = !conditionalOnView || transaction.viewRevision() == viewRevision;
            if (committed) {
                revision++;
                committedRevisions.add(revision);
            }
            outcomes.add(new long[] {transaction.number(), committed ? revision : 0});
        }

        private void reportOutcome(int choice) throws MalformedFrameException {
            if (!outcomes.isEmpty()) {
                long[] outcome = outcomes.remove(choice % outcomes.size());
                send(new Outcome(outcome[0], true, outcome[1]));
            }
        }

        private void evict() {
            if (!evicted) {
                evicted = true;
                revision++;
                viewRevision = revision;
            }
        }

        private void send(PeerMessage message) throws MalformedFrameException {
            ByteBuffer bytes = FrameCodec.encode(message, sequence++);
            for (Frame frame : new FrameDecoder().feed(bytes)) {
                follower.apply(frame);
            }
        }

        private void check() {
            if (evicted && follower.replicaContainsAllCommits(replicaRevision, viewRevision)) {
                for (long committed : committedRevisions) {
                    assertTrue(committed <= replicaRevision, "the replica misses the commit at revision " + committed);
                }
            }
        }
    }
}
