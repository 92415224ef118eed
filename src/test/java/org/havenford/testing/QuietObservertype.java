package org.havenford.testing;

import com.google.gson.JsonObject;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;

/** For tests that read the ledger and need not be told of its changes. */
public final class QuietObservertype implements ClusterState.Observer {
    @Override
    public void viewChanged(JsonObject view, long stamp) {}

    @Override
    public void memberChanged(String node, JsonObject member, long stamp) {}

    @Override
    public void livenessProbeChanged(String node, JsonObject challenge, long stamp) {}

    @Override
    public void machineChanged(String machine) {}

    @Override
    public void changesApplied() {}

    @Override
    public void jobEnded(Job last) {}

    @Override
    public void loaded() {}
}
