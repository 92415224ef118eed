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
    private final Map<String, Instant> returned = new HashMap<>();

    private final Set<String> failed = new HashSet<>();
    private final DueTime listDue = new DueTime();
    /** When the first page of the last complete list was requested; null if no list has been completed. */
    private Instant lastFullList;

    private boolean listing;

    CloudInventory(ProvisioningContext context) {
        this.context = context;
        this.adoption = new UnrecordedMachineAdoption(context);
    }

    /** Discards the lists read so far; called when this controller becomes the provisioning leader. */
    void reset() {
        lastListed.clear();
        lastFullList = null;
    }

    /** Starts reading the list if the next read is due and none is in progress. */
    void step(Instant now) {
        if (listing || !listDue.isReached(now)) {
            return;
        }
        listing = true;
        listDue.postponeTo(now.plus(LIST_INTERVAL));
        requestPage(now, "", new HashMap<>());
    }

    /** Returns whether the last complete list showed a machine as failed. */
    boolean isFailed(String machine) {
        return failed.contains(machine);
    }

    /** Records machines whose return the cloud has confirmed. */
    void returned(List<String> machines) {
        machines.forEach(machine -> returned.put(machine, context.loop().now()));
    }

    /**
     * Returns whether a machine that has been silent since {@code silentSince} has disappeared from the list. A listed
     * machine stays listed until it is gone. The list may lag by up to twice its configured lag. Absence alone
     * does not prove that the machine is gone; the cloud's reply to the return request that follows does.
     */
    boolean isNoLongerListed(String machine, Instant silentSince) {
        Instant seen = lastListed.get(machine);
        Instant settled = silentSince.plus(context.settings().cloudListLag().multipliedBy(2));
        return seen != null
                && seen.isBefore(settled)
                && lastFullList != null
                && lastFullList.isAfter(settled)
                && !lastFullList.equals(seen);
    }

    private void requestPage(Instant askedAt, String after, Map<String, ListedMachine> all) {
        String path = "/machines?limit=" + PAGE_SIZE + (after.isEmpty() ? "" : "&since=" + after);
        if (!context.cloud().tryCall("GET", path, null, reply -> onPage(askedAt, after, all, reply))) {
            // A long list needs more calls than the rate limit allows at once, so the page is retried: starting over
            // would never complete the list.
            context.loop().after(PAGE_RETRY_DELAY, () -> requestPage(askedAt, after, all));
        }
    }

    private void onPage(Instant askedAt, String after, Map<String, ListedMachine> all, HttpCalls.Reply reply) {
        if (!reply.ok()) {
            listing = false;
            return;
        }
        try {
            CloudMessages.Page page = CloudMessages.machinePage(reply.body());
            String last = after;
            for (ListedMachine machine : page.machines()) {
                all.put(machine.machine(), machine);
                last = machine.machine();
            }
            if (page.more() && !last.equals(after)) {
                requestPage(askedAt, last, all);
            } else {
                listing = false;
                onFullList(askedAt, all);
            }
        } catch (MalformedMessageException e) {
            listing = false;
            LOG.warn("unreadable machine list from the cloud: error=\"{}\"", e.getMessage());
        }
    }

    private void onFullList(Instant askedAt, Map<String, ListedMachine> all) {
        lastFullList = askedAt;
        failed.clear();
        for (ListedMachine machine : all.values()) {
            lastListed.put(machine.machine(), askedAt);
            if (machine.status() == CloudMessages.Status.FAILED) {
                failed.add(machine.machine());
            }
        }
        adoption.adoptUnrecorded(all.values(), returned.keySet());
        Instant oldest = askedAt.minus(RETENTION);
        lastListed.values().removeIf(time -> time.isBefore(oldest));
        returned.values().removeIf(time -> time.isBefore(oldest));
    }
}
