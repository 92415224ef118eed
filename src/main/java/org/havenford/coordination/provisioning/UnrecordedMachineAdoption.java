package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.havenford.protocol.CloudMessages.ListedMachine;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineBatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Adds records to the store for machines that the cloud lists and that have none. */
final class UnrecordedMachineAdoption {
    private static final Logger LOG = LoggerFactory.getLogger(UnrecordedMachineAdoption.class);
    private static final String BATCH_NAME_PREFIX = "l";
    /** Minimum age for adoption; longer than the reply to an instance request can be delayed. */
    private static final Duration MIN_AGE = Duration.ofSeconds(10);

    private final ProvisioningContext context;

    UnrecordedMachineAdoption(ProvisioningContext context) {
        this.context = context;
    }

    /**
     * Adopts machines without a record. They stem from an instance request that the cloud carried out late, or whose
     * reply was lost. No machine is adopted while an instance request is open, and none whose return the cloud has
     * confirmed.
     */
    void adoptUnrecorded(Collection<ListedMachine> listed, Set<String> returned) {
        if (!context.clusterState().instanceRequests().isEmpty()) {
            return;
        }
        Map<InstanceOffer, List<ListedMachine>> unrecorded = new LinkedHashMap<>();
        for (ListedMachine machine : listed) {
            boolean ignored = context.clusterState().machine(machine.machine()) != null
                    || returned.contains(machine.machine())
                    || machine.age().compareTo(MIN_AGE) <= 0;
            if (!ignored) {
                LOG.info(
                        "adopting a machine that the cloud lists and that is in no record: machine={}",
                        machine.machine());
                InstanceOffer offer = InstanceOffer.of(machine);
                unrecorded.computeIfAbsent(offer, key -> new ArrayList<>()).add(machine);
            }
        }
        Transaction transaction = new Transaction();
        unrecorded.forEach(
                (offer, machines) -> transaction.addIfAllowed(newBatch(offer, machines), context.transactionLimits()));
        if (transaction.operationCount() > 0) {
            context.write(transaction, ok -> {});
        }
    }

    private Transaction newBatch(InstanceOffer offer, List<ListedMachine> machines) {
        String name = context.uniqueName(BATCH_NAME_PREFIX);
        Instant since = context.loop().timeOfDay().minus(machines.get(0).age());
        List<String> names = machines.stream()
                .limit(MachineBatch.MAX_MACHINES)
                .map(ListedMachine::machine)
                .toList();
        MachineBatch batch = MachineBatch.of(
                name, offer.kind().type(), offer.zone(), offer.kind().spot(), since, names);
        return new Transaction().requireRevision(Keys.batch(name), 0).put(Keys.batch(name), batch.toJson());
    }
}
