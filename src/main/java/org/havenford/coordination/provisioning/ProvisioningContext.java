package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.util.function.Consumer;
import org.havenford.coordination.membership.Membership;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.CallPriority;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineRecord;
import org.havenford.transport.EventLoop;

/** What the parts of the provisioner work with: the replica that decisions are read from, the cloud, and the way to the store. */
public final class ProvisioningContext {
    private final EventLoop loop;
    private final CloudClient cloudClient;
    private final PlatformSettings settings;
    private final OperatorSettings operatorSettings;
    private final ClusterState clusterState;
    private final StoreReplica replica;
    private final StoreClient store;
    private final Membership membership;
    private final Runnable wake;
    private long names;

    /** The context of one controller. */
    public ProvisioningContext(
            EventLoop loop,
            CloudClient cloudClient,
            PlatformSettings settings,
            OperatorSettings operatorSettings,
            ClusterState clusterState,
            StoreReplica replica,
            StoreClient store,
            Membership membership,
            Runnable wake) {
        this.loop = loop;
        this.cloudClient = cloudClient;
        this.settings = settings;
        this.operatorSettings = operatorSettings;
        this.clusterState = clusterState;
        this.replica = replica;
        this.store = store;
        this.membership = membership;
        this.wake = wake;
    }

    EventLoop loop() {
        return loop;
    }

    CloudClient cloud() {
        return cloudClient;
    }

    PlatformSettings settings() {
        return settings;
    }

    OperatorSettings operator() {
        return operatorSettings;
    }

    ClusterState clusterState() {
        return clusterState;
    }

    StoreReplica replica() {
        return replica;
    }

    Membership membership() {
        return membership;
    }

    /** Time since a machine has been in its condition. */
    Duration age(MachineRecord machine) {
        return Duration.between(machine.since(), loop.timeOfDay());
    }

    /** A name that no other controller and no other life of this one gives. */
    String uniqueName(String prefix) {
        names++;
        return prefix + "-" + membership.view().epoch() + "-"
                + membership.view().members().get(settings.node()) + "-" + names;
    }

    /** Commits a transaction under the present view; {@code after} is told whether it was written. */
    void write(Transaction transaction, Consumer<Boolean> after) {
        transaction.requireRevision(Keys.VIEW, membership.viewRevision());
        store.commit(transaction, CallPriority.WORK, result -> {
            if (result.ok()) {
                replica.applyCommitted(transaction, result.revision());
            }
            after.accept(result.ok());
            wake.run();
        });
    }
}
