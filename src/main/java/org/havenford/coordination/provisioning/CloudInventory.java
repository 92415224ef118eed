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
 * The cloud's list of our machines, read at intervals. The list lags, so it never proves that a machine is gone. Listed
 * machines that are in no record are adopted.
 */
final class CloudInventory {
    private static final Logger LOG = LoggerFactory.getLogger(CloudInventory.class);
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(3);
    private static final int PAGE_SIZE = 500;
    private static final Duration PAGE_RETRY_DELAY = Duration.ofMillis(100);
    /** How long it is kept when a machine was listed or returned. */
    private static final Duration RETENTION = Duration.ofMinutes(10);

    private final ProvisioningContext context;
    private final UnrecordedMachineAdoption adoption;
    private final Map<String, Instant> lastListed = new HashMap<>();
    /** Machines whose return the cloud has confirmed, and when. */
    private final Map<String, Instant> returned = new HashMap<>();

    private final Set<String> failed = new HashSet<>();
    private final DueTime listDue = new DueTime();
    /** When the last list that was read to its end was asked for; null before. */
    private Instant lastFullList;

    private boolean listing;

    CloudInventory(ProvisioningContext context) {
        this.context = context;
        this.adoption = new UnrecordedMachineAdoption(context);
    }

    /** Forgets what was listed before this controller became the provisioner. */
    void reset() {
        lastListed.clear();
        lastFullList = null;
    }

    /** Asks the cloud for the list when it is due. */
    void step(Instant now) {
        if (listing || !listDue.isReached(now)) {
            return;
        }
        listing = true;
        listDue.postponeTo(now.plus(LIST_INTERVAL));
        requestPage(now, "", new HashMap<>());
    }

    /** Whether the cloud lists a machine as failed. */
    boolean isFailed(String machine) {
        return failed.contains(machine);
    }

    /** The cloud has confirmed that machines were returned. */
    void returned(List<String> machines) {
        machines.forEach(machine -> returned.put(machine, context.loop().now()));
    }

    /**
     * Whether a machine that has been silent since a moment is no longer listed. Once listed, a machine stays listed until it
     * is gone. The list may lag by twice its usual lag, and it is no proof: the return that follows is.
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
            // A long list takes more calls than may go out at once. Given up, it would never be read to its end.
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
