package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.util.function.Consumer;
import org.havenford.coordination.jobs.CoordinationContext;
import org.havenford.coordination.membership.Membership;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.CallPriority;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreOutcome;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.TransactionLimits;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineRecord;
import org.havenford.transport.EventLoop;

/** Shared dependencies of the provisioning classes: cluster state, cloud client, settings and writes to the store. */
public final class ProvisioningContext {
    private final CoordinationContext coordination;
    private final CloudClient cloudClient;
    private final OperatorSettings operatorSettings;
    private final Runnable afterWrite;
    private long issuedNames;

    /** Creates the context of one controller; {@code afterWrite} runs after each write, whether or not it committed. */
    public ProvisioningContext(
            CoordinationContext coordination,
            CloudClient cloudClient,
            OperatorSettings operatorSettings,
            Runnable afterWrite) {
        this.coordination = coordination;
        this.cloudClient = cloudClient;
        this.operatorSettings = operatorSettings;
        this.afterWrite = afterWrite;
    }

    EventLoop loop() {
        return coordination.loop();
    }

    CloudClient cloudClient() {
        return cloudClient;
    }

    PlatformSettings settings() {
        return coordination.settings();
    }

    OperatorSettings operatorSettings() {
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

    TransactionLimits transactionLimits() {
        return coordination.transactionLimits();
    }

    /** Returns how long a machine has been in its current condition. */
    Duration timeInCondition(MachineRecord machine) {
        return Duration.between(machine.since(), loop().timeOfDay());
    }

    /** Returns a name that is unique across all controllers and all incarnations of this one. */
    String uniqueName(String prefix) {
        issuedNames++;
        return prefix + "-" + membership().view().epoch() + "-"
                + membership().view().members().get(settings().node()) + "-" + issuedNames;
    }

    /** Commits a transaction guarded by the current view; {@code onResult} receives whether it was committed. */
    void write(Transaction transaction, Consumer<Boolean> onResult) {
        transaction.requireRevision(Keys.VIEW, membership().viewRevision());
        coordination.store().commit(transaction, CallPriority.WORK, result -> {
            if (result.ok()) {
                replica().applyCommitted(transaction, result.revision());
            }
            if (result.outcome() == StoreOutcome.REJECTED) {
                transactionLimits().recordRejected(transaction);
            }
            onResult.accept(result.ok());
            afterWrite.run();
        });
    }
}
