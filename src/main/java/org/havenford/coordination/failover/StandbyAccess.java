package org.havenford.coordination.failover;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.havenford.coordination.agents.AgentContact;
import org.havenford.coordination.agents.AgentManager;
import org.havenford.coordination.membership.MemberEvictions;
import org.havenford.coordination.membership.Membership;
import org.havenford.coordination.monitoring.ProcessPauseDetector;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreClient;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.Job;
import org.havenford.transport.EventLoop;

/** Implements {@link StandbyHost} on top of a controller. Events are dropped while no observer is registered. */
public final class StandbyAccess implements StandbyHost {
    private final ProcessPauseDetector pauseDetector;
    private final StoreClient store;
    private final ClusterState clusterState;
    private final Membership membership;
    private final MemberEvictions evictions;
    private final AgentManager agentManager;
    /** Null until an observer is registered. */
    private Observer observer;

    /** Creates the access to the controller with the given components. */
    public StandbyAccess(
            ProcessPauseDetector pauseDetector,
            StoreClient store,
            ClusterState clusterState,
            Membership membership,
            MemberEvictions evictions,
            AgentManager agentManager) {
        this.pauseDetector = pauseDetector;
        this.store = store;
        this.clusterState = clusterState;
        this.membership = membership;
        this.evictions = evictions;
        this.agentManager = agentManager;
    }

    /** Notifies the observer, if any, of a new view. */
    public void viewChanged() {
        if (observer != null) {
            observer.viewChanged();
        }
    }

    /** Notifies the observer, if any, of a pause of this process. */
    public void processPaused() {
        if (observer != null) {
            observer.processPaused();
        }
    }

    @Override
    public EventLoop loop() {
        return pauseDetector;
    }

    @Override
    public void eventStarted() {
        pauseDetector.eventStarted();
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
    public boolean mayDecide() {
        return membership.mayAnswerAgents();
    }

    @Override
    public long replicaRevision() {
        return membership.replicaRevision();
    }

    @Override
    public long viewRevision() {
        return membership.viewRevision();
    }

    @Override
    public boolean mayEvict(String node) {
        return evictions.mayEvict(node);
    }

    @Override
    public void createLivenessProbe(String node, long incarnation, LongConsumer callback) {
        evictions.createLivenessProbe(node, incarnation, callback);
    }

    @Override
    public boolean isProbeUnanswered(String node, long probeRevision) {
        return evictions.isProbeUnanswered(node, probeRevision);
    }

    @Override
    public void withdrawProbe(String node, long probeRevision) {
        evictions.withdrawProbe(node, probeRevision);
    }

    @Override
    public void evict(String node, long incarnation, long probeRevision, Consumer<Boolean> callback) {
        evictions.evict(node, incarnation, probeRevision, callback);
    }

    @Override
    public List<AgentContact> agentContacts() {
        return agentManager.contacts();
    }

    @Override
    public int priorityRank(String machine) {
        int rank = JobSpec.Priority.values().length;
        for (Claim claim : clusterState.claimsOn(machine).values()) {
            Job job = clusterState.job(claim.task().job());
            if (job != null) {
                rank = Math.min(rank, job.spec().priority().ordinal());
            }
        }
        return rank;
    }

    @Override
    public void contactAgent(AgentContact contact) {
        agentManager.contactAgent(contact);
    }
}
