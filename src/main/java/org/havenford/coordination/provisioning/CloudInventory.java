package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.havenford.protocol.CloudMessages;
import org.havenford.protocol.CloudMessages.ListedMachine;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the cloud's list of this deployment's machines at regular intervals. The list lags behind, so a machine's
 * absence from it does not prove that the machine is gone. Listed machines without a record in the store are adopted.
 */
final class CloudInventory {
    private static final Logger LOG = LoggerFactory.getLogger(CloudInventory.class);
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(3);
    private static final int PAGE_SIZE = 500;
    private static final Duration PAGE_RETRY_DELAY = Duration.ofMillis(100);
    /** How long the times at which machines were listed or returned are kept. */
    private static final Duration RETENTION = Duration.ofMinutes(10);

    private final ProvisioningContext context;
    private final UnrecordedMachineAdoption adoption;
    private final Map<String, Instant> lastListed = new HashMap<>();
    /** Times at which the cloud confirmed the return of machines. */
    private final Map<String, Instant> returnedAt = new HashMap<>();

    private final Set<String> failedMachines = new HashSet<>();
    private final DueTime listDue = new DueTime();
    /** When the first page of the last complete list was requested; null if no list has been completed. */
    private Instant lastCompleteListAt;

    private boolean listInProgress;

    CloudInventory(ProvisioningContext context) {
        this.context = context;
        this.adoption = new UnrecordedMachineAdoption(context);
    }

    /** Discards the lists read so far; called when this controller becomes the provisioning leader. */
    void reset() {
        lastListed.clear();
        lastCompleteListAt = null;
    }

    /** Starts reading the list if the next read is due and none is in progress. */
    void step(Instant now) {
        if (listInProgress || !listDue.isReached(now)) {
            return;
        }
        listInProgress = true;
        listDue.postponeTo(now.plus(LIST_INTERVAL));
        requestPage(now, "", new HashMap<>());
    }

    /** Returns whether the last complete list showed a machine as failed. */
    boolean isFailed(String machine) {
        return failedMachines.contains(machine);
    }

    /** Records machines whose return the cloud has confirmed. */
    void recordReturned(List<String> machines) {
        machines.forEach(machine -> returnedAt.put(machine, context.loop().now()));
    }

    /**
     * Returns whether a machine that has been silent since {@code silentSince} has disappeared from the list. A listed
     * machine stays listed until it is gone. The list may lag by up to twice its configured lag. Absence alone
     * does not prove that the machine is gone; the cloud's reply to the return request that follows does.
     */
    boolean isNoLongerListed(String machine, Instant silentSince) {
        Instant lastSeenAt = lastListed.get(machine);
        Instant lagElapsedAt =
                silentSince.plus(context.settings().cloudListLag().multipliedBy(2));
        return lastSeenAt != null
                && lastSeenAt.isBefore(lagElapsedAt)
                && lastCompleteListAt != null
                && lastCompleteListAt.isAfter(lagElapsedAt)
                && !lastCompleteListAt.equals(lastSeenAt);
    }

    private void requestPage(Instant requestedAt, String afterName, Map<String, ListedMachine> listed) {
        String path = "/machines?limit=" + PAGE_SIZE + (afterName.isEmpty() ? "" : "&since=" + afterName);
        if (!context.cloudClient().tryCall("GET", path, null, reply -> onPage(requestedAt, afterName, listed, reply))) {
            // A long list needs more calls than the rate limit allows at once, so the page is retried: starting over
            // would never complete the list.
            context.loop().after(PAGE_RETRY_DELAY, () -> requestPage(requestedAt, afterName, listed));
        }
    }

    private void onPage(
            Instant requestedAt, String afterName, Map<String, ListedMachine> listed, HttpCalls.Reply reply) {
        if (!reply.ok()) {
            listInProgress = false;
            return;
        }
        try {
            CloudMessages.Page page = CloudMessages.parseMachinePage(reply.body());
            String lastName = afterName;
            for (ListedMachine machine : page.machines()) {
                listed.put(machine.machine(), machine);
                lastName = machine.machine();
            }
            if (page.hasMore() && !lastName.equals(afterName)) {
                requestPage(requestedAt, lastName, listed);
            } else {
                listInProgress = false;
                onCompleteList(requestedAt, listed);
            }
        } catch (MalformedMessageException e) {
            listInProgress = false;
            LOG.warn("unreadable machine list from the cloud: error=\"{}\"", e.getMessage());
        }
    }

    private void onCompleteList(Instant requestedAt, Map<String, ListedMachine> listed) {
        lastCompleteListAt = requestedAt;
        failedMachines.clear();
        for (ListedMachine machine : listed.values()) {
            lastListed.put(machine.machine(), requestedAt);
            if (machine.status() == CloudMessages.Status.FAILED) {
                failedMachines.add(machine.machine());
            }
        }
        adoption.adoptUnrecorded(listed.values(), returnedAt.keySet());
        Instant oldest = requestedAt.minus(RETENTION);
        lastListed.values().removeIf(time -> time.isBefore(oldest));
        returnedAt.values().removeIf(time -> time.isBefore(oldest));
    }
}
