package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.util.function.Consumer;
import org.havenford.coordination.jobs.CoordinationContext;
import org.havenford.coordination.membership.Membership;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.CallPriority;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineRecord;
import org.havenford.transport.EventLoop;

/** What the parts of the provisioner share: the replica that decisions are read from, the cloud, and writes to the store. */
public final class ProvisioningContext {
    private final CoordinationContext coordination;
    private final CloudClient cloudClient;
    private final OperatorSettings operatorSettings;
    private final Runnable wake;
    private long namesGiven;

    /** The context of one controller; {@code wake} runs after each write, whether or not it was committed. */
    public ProvisioningContext(
            CoordinationContext coordination,
            CloudClient cloudClient,
            OperatorSettings operatorSettings,
            Runnable wake) {
        this.coordination = coordination;
        this.cloudClient = cloudClient;
        this.operatorSettings = operatorSettings;
        this.wake = wake;
    }

    EventLoop loop() {
        return coordination.loop();
    }

    CloudClient cloud() {
        return cloudClient;
    }

    PlatformSettings settings() {
        return coordination.settings();
    }

    OperatorSettings operator() {
        return operatorSettings;
    }

    ClusterState clusterState() {
        return coordination.clusterState();
    }

    StoreReplica replica() {
        return coordination.replica();
    }

    Membership membership() {
        return coordination.membership();
    }

    /** For how long a machine has been in its condition. */
    Duration timeInCondition(MachineRecord machine) {
        return Duration.between(machine.since(), loop().timeOfDay());
    }

    /** A name that no other controller and no other incarnation of this one gives. */
    String uniqueName(String prefix) {
        namesGiven++;
        return prefix + "-" + membership().view().epoch() + "-"
                + membership().view().members().get(settings().node()) + "-" + namesGiven;
    }

    /** Commits a transaction under the present view; {@code whenDone} is told whether it was committed. */
    void write(Transaction transaction, Consumer<Boolean> whenDone) {
        transaction.requireRevision(Keys.VIEW, membership().viewRevision());
        coordination.store().commit(transaction, CallPriority.WORK, result -> {
            if (result.ok()) {
                replica().applyCommitted(transaction, result.revision());
            }
            whenDone.accept(result.ok());
            wake.run();
        });
    }
}
