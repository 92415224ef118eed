package org.havenford.testing;

import org.havenford.storage.ClusterState;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.LivenessProbe;
import org.havenford.storage.records.MemberRegistration;

/** An observer that ignores every change, for tests that only read the cluster state. */
public final class NoOpObserver implements ClusterState.Observer {
    @Override
    public void viewChanged(ClusterView view, long modRevision) {}

    @Override
    public void memberChanged(String node, MemberRegistration registration, long modRevision) {}

    @Override
    public void livenessProbeChanged(String node, LivenessProbe probe, long modRevision) {}

    @Override
    public void machineChanged(String machine) {}

    @Override
    public void changesApplied() {}

    @Override
    public void jobEnded(Job last) {}

    @Override
    public void loaded() {}
}
