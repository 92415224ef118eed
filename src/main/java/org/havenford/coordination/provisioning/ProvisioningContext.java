package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.util.function.Consumer;
import org.havenford.coordination.membership.Membership;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineRecord;
import org.havenford.transport.EventLoop;

/** What the parts of the provisioner work with: the replica that decisions are read from, the cloud, and the way to the store. */
public final class ProvisioningContext {
    private final EventLoop loop;
    private final CloudClient cloud;
    private final PlatformSettings settings;
    private final OperatorSettings operator;
    private final ClusterState ledger;
    private final StoreReplica replica;
    private final StoreClient store;
    private final Membership membership;
    private final Runnable wake;
    private long names;

    /** The context of one controller. */
    public ProvisioningContext(
            EventLoop loop,
            CloudClient cloud,
            PlatformSettings settings,
            OperatorSettings operator,
            ClusterState ledger,
            StoreReplica replica,
            StoreClient store,
            Membership membership,
            Runnable wake) {
        this.loop = loop;
        this.cloud = cloud;
        this.settings = settings;
        this.operator = operator;
        this.ledger = ledger;
        this.replica = replica;
        this.store = store;
        this.membership = membership;
        this.wake = wake;
    }

    EventLoop loop() {
        return loop;
    }

    CloudClient cloud() {
        return cloud;
    }

    PlatformSettings settings() {
        return settings;
    }

    OperatorSettings operator() {
        return operator;
    }

    ClusterState ledger() {
        return ledger;
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
    void write(StoreClient.Transaction txn, Consumer<Boolean> after) {
        txn.guard(Keys.VIEW, membership.viewStamp());
        store.commit(txn, StoreClient.CallPriority.WORK, result -> {
            if (result.ok()) {
                replica.committed(txn, result.edition());
            }
            after.accept(result.ok());
            wake.run();
        });
    }
}
