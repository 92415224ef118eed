package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.util.function.Consumer;
import org.havenford.coordination.membership.Membership;
import org.havenford.settings.Operator;
import org.havenford.settings.Settings;
import org.havenford.storage.Ledger;
import org.havenford.storage.Replica;
import org.havenford.storage.StateStore;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineRecord;
import org.havenford.transport.EventLoop;

/** What the parts of the provisioner work with: the replica that decisions are read from, the cloud, and the way to the store. */
public final class ProvisioningContext {
    private final EventLoop loop;
    private final CloudCalls cloud;
    private final Settings settings;
    private final Operator operator;
    private final Ledger ledger;
    private final Replica replica;
    private final StateStore store;
    private final Membership membership;
    private final Runnable wake;
    private long names;

    /** The context of one controller. */
    public ProvisioningContext(
            EventLoop loop,
            CloudCalls cloud,
            Settings settings,
            Operator operator,
            Ledger ledger,
            Replica replica,
            StateStore store,
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

    CloudCalls cloud() {
        return cloud;
    }

    Settings settings() {
        return settings;
    }

    Operator operator() {
        return operator;
    }

    Ledger ledger() {
        return ledger;
    }

    Replica replica() {
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
    void write(StateStore.Txn txn, Consumer<Boolean> after) {
        txn.guard(Keys.VIEW, membership.viewStamp());
        store.commit(txn, StateStore.Urgency.WORK, result -> {
            if (result.ok()) {
                replica.committed(txn, result.edition());
            }
            after.accept(result.ok());
            wake.run();
        });
    }
}
