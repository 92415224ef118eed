package org.havenford.coordination.failover;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.havenford.coordination.agents.AgentContact;
import org.havenford.coordination.agents.AgentManager;
import org.havenford.coordination.membership.ClusterView;
import org.havenford.coordination.membership.MemberEvictions;
import org.havenford.coordination.membership.Membership;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.transport.EventLoop;

/** The controller's side of {@link StandbyHost}; it does nothing while nobody observes. */
public final class StandbyAccess implements StandbyHost {
    private final EventLoop loop;
    private final Runnable eventBegins;
    private final StoreClient store;
    private final StoreReplica replica;
    private final ClusterState ledger;
    private final Membership membership;
    private final MemberEvictions evictions;
    private final AgentManager fleet;
    private Observer observer;

    /** The access to the controller made of these parts. */
    public StandbyAccess(
            EventLoop loop,
            Runnable eventBegins,
            StoreClient store,
            StoreReplica replica,
            ClusterState ledger,
            Membership membership,
            MemberEvictions evictions,
            AgentManager fleet) {
        this.loop = loop;
        this.eventBegins = eventBegins;
        this.store = store;
        this.replica = replica;
        this.ledger = ledger;
        this.membership = membership;
        this.evictions = evictions;
        this.fleet = fleet;
    }

    /** Tells the observer, if any, of a new view. */
    public void viewChanged() {
        if (observer != null) {
            observer.viewChanged();
        }
    }

    /** Tells the observer, if any, of a pause of this process. */
    public void stoodStill() {
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
    public ClusterView view() {
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
    public List<AgentContact> machineNotes() {
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
    public void contact(AgentContact note) {
        fleet.contact(note);
    }
}
