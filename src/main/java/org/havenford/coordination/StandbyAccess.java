package org.havenford.coordination;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.havenford.bookkeeping.Claim;
import org.havenford.bookkeeping.Job;
import org.havenford.bookkeeping.Keys;
import org.havenford.bookkeeping.Ledger;
import org.havenford.bookkeeping.Replica;
import org.havenford.bookkeeping.StateStore;
import org.havenford.protocol.JobSpec;
import org.havenford.transport.EventLoop;

/** The controller's side of {@link StandbyHost}; it does nothing while nobody observes. */
final class StandbyAccess implements StandbyHost {
    private final EventLoop loop;
    private final Runnable eventBegins;
    private final StateStore store;
    private final Replica replica;
    private final Ledger ledger;
    private final Membership membership;
    private final Evictions evictions;
    private final Fleet fleet;
    private Observer observer;

    StandbyAccess(
            EventLoop loop,
            Runnable eventBegins,
            StateStore store,
            Replica replica,
            Ledger ledger,
            Membership membership,
            Evictions evictions,
            Fleet fleet) {
        this.loop = loop;
        this.eventBegins = eventBegins;
        this.store = store;
        this.replica = replica;
        this.ledger = ledger;
        this.membership = membership;
        this.evictions = evictions;
        this.fleet = fleet;
    }

    void viewChanged() {
        if (observer != null) {
            observer.viewChanged();
        }
    }

    void stoodStill() {
        if (observer != null) {
            observer.stoodStill();
        }
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public void eventBegins() {
        eventBegins.run();
    }

    @Override
    public void observe(Observer newObserver) {
        observer = newObserver;
        store.observeCommits(newObserver);
    }

    @Override
    public View view() {
        return membership.view();
    }

    @Override
    public long incarnation() {
        return membership.incarnation();
    }

    @Override
    public boolean entitled() {
        return membership.entitled();
    }

    @Override
    public long replicaEdition() {
        return replica.edition();
    }

    @Override
    public long viewStamp() {
        return membership.viewStamp();
    }

    @Override
    public boolean evictionPermitted(String node) {
        return evictions.permitted(node);
    }

    @Override
    public void challenge(String node, long incarnation, LongConsumer asked) {
        evictions.challenge(node, incarnation, asked);
    }

    @Override
    public boolean challengeStands(String node, long stamp) {
        return replica.stamp(Keys.challenge(node)) == stamp;
    }

    @Override
    public void withdrawChallenge(String node, long stamp) {
        evictions.withdraw(node, stamp);
    }

    @Override
    public void evict(String node, long incarnation, long challengeStamp, Consumer<Boolean> done) {
        evictions.evict(node, incarnation, challengeStamp, done);
    }

    @Override
    public List<MachineNote> machineNotes() {
        return fleet.notes();
    }

    @Override
    public int urgency(String machine) {
        int most = JobSpec.Priority.values().length;
        for (Claim claim : ledger.claimsOn(machine).values()) {
            Job job = ledger.job(claim.task().job());
            if (job != null) {
                most = Math.min(most, job.spec().priority().ordinal());
            }
        }
        return most;
    }

    @Override
    public void contact(MachineNote note) {
        fleet.contact(note);
    }
}
