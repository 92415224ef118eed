package org.havenford.controller;

import org.havenford.coordination.agents.AgentManager;
import org.havenford.coordination.membership.MemberEvictions;
import org.havenford.coordination.membership.Membership;
import org.havenford.coordination.scheduling.Scheduler;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.LivenessProbe;
import org.havenford.storage.records.MemberRegistration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Dispatches changes of the replica to the components of a controller. */
final class ReplicaObserver implements ClusterState.Observer {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaObserver.class);

    private final ClusterState clusterState;
    private final Membership membership;
    private final MemberEvictions evictions;
    private final AgentManager agentManager;
    private final Scheduler scheduler;
    private final RoundTimer roundTimer;

    ReplicaObserver(
            ClusterState clusterState,
            Membership membership,
            MemberEvictions evictions,
            AgentManager agentManager,
            Scheduler scheduler,
            RoundTimer roundTimer) {
        this.clusterState = clusterState;
        this.membership = membership;
        this.evictions = evictions;
        this.agentManager = agentManager;
        this.scheduler = scheduler;
        this.roundTimer = roundTimer;
    }

    @Override
    public void viewChanged(ClusterView view, long modRevision) {
        membership.viewChanged(view, modRevision);
    }

    @Override
    public void memberChanged(String node, MemberRegistration registration, long modRevision) {
        membership.registrationChanged(node, registration, modRevision);
    }

    @Override
    public void livenessProbeChanged(String node, LivenessProbe probe, long modRevision) {
        evictions.livenessProbeChanged(node, probe, modRevision);
    }

    @Override
    public void machineChanged(String machine) {
        agentManager.machineChanged(machine);
        scheduler.invalidateMachine(machine);
    }

    @Override
    public void changesApplied() {
        roundTimer.requestRound();
    }

    @Override
    public void jobEnded(Job lastState) {
        agentManager.jobEnded(lastState);
        scheduler.jobEnded(lastState);
    }

    @Override
    public void loaded() {
        LOG.info(
                "store replica loaded: jobs={} machines={}",
                clusterState.jobs().size(),
                clusterState.machines().size());
    }
}
