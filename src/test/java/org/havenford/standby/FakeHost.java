package org.havenford.standby;

import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.havenford.coordination.agents.AgentContact;
import org.havenford.coordination.failover.StandbyHost;
import org.havenford.storage.records.ClusterView;
import org.havenford.testing.ManualLoop;
import org.havenford.transport.EventLoop;

/** Host whose clock advances only when a test moves it, and whose timers do not run. */
class FakeHost implements StandbyHost {
    final ManualLoop loop = new ManualLoop(Instant.EPOCH);

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public void eventStarted() {}

    @Override
    public void observe(Observer observer) {}

    @Override
    public ClusterView view() {
        return ClusterView.empty();
    }

    @Override
    public long incarnation() {
        return 3;
    }

    @Override
    public boolean mayDecide() {
        return true;
    }

    @Override
    public long replicaRevision() {
        return 0;
    }

    @Override
    public long viewRevision() {
        return 0;
    }

    @Override
    public boolean mayEvict(String node) {
        return true;
    }

    @Override
    public void createLivenessProbe(String node, long incarnation, LongConsumer created) {}

    @Override
    public boolean isProbeUnanswered(String node, long probeRevision) {
        return true;
    }

    @Override
    public void withdrawProbe(String node, long probeRevision) {}

    @Override
    public void evict(String node, long incarnation, long probeRevision, Consumer<Boolean> done) {}

    @Override
    public List<AgentContact> agentContacts() {
        return List.of();
    }

    @Override
    public int priorityRank(String machine) {
        return 0;
    }

    @Override
    public void contactAgent(AgentContact contact) {}
}
