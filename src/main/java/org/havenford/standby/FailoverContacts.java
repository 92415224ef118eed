package org.havenford.standby;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import org.havenford.coordination.agents.AgentContact;
import org.havenford.coordination.failover.StandbyHost;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Contacts the agents of machines that were taken over, within a limit of time and contacts for each round. No agent is
 * contacted before the replica has reached the revision of the current view: it then contains everything that the former
 * owner can have committed for these machines.
 */
final class FailoverContacts {
    private static final Logger LOG = LoggerFactory.getLogger(FailoverContacts.class);
    private static final Duration ROUND_INTERVAL = Duration.ofMillis(20);
    private static final Duration ROUND_BUDGET = Duration.ofMillis(5);
    private static final int MAX_CONTACTS_PER_ROUND = 50;
    /** How long agents are contacted after a failover. Each agent sends an unsolicited heartbeat long before this ends. */
    private static final Duration CONTACT_PERIOD = Duration.ofSeconds(20);

    /** Data of one failover that is logged once all its agents have been contacted. */
    private static final class Failover {
        private final String formerOwner;
        private final Instant viewChangedAt;
        private final int machines;
        private final int openDecisions;
        private Instant mayDecideSince;

        Failover(String formerOwner, Instant viewChangedAt, int machines, int openDecisions) {
            this.formerOwner = formerOwner;
            this.viewChangedAt = viewChangedAt;
            this.machines = machines;
            this.openDecisions = openDecisions;
        }
    }

    private final StandbyHost host;
    private final ArrayDeque<AgentContact> pending = new ArrayDeque<>();
    private Instant deadline = Instant.MIN;
    private boolean running;
    /** The latest failover, or null before the first. */
    private Failover failover;

    FailoverContacts(StandbyHost host) {
        this.host = host;
    }

    /** Starts contacting the agents of machines taken over from a former owner, in the given order. */
    void begin(String formerOwner, List<AgentContact> contacts, int openDecisions) {
        pending.addAll(contacts);
        Instant now = host.loop().now();
        failover = new Failover(formerOwner, now, contacts.size(), openDecisions);
        deadline = now.plus(CONTACT_PERIOD);
        if (!running) {
            running = true;
            host.loop().after(Duration.ZERO, this::runRound);
        }
    }

    private void runRound() {
        Instant now = host.loop().now();
        if (now.isAfter(deadline)) {
            pending.clear();
        }
        if (host.mayDecide() && host.replicaRevision() >= host.viewRevision()) {
            failover.mayDecideSince = failover.mayDecideSince == null ? now : failover.mayDecideSince;
            contactWithinBudget(now);
            if (pending.isEmpty()) {
                running = false;
                logCompletion(host.loop().now());
                return;
            }
        }
        if (now.isAfter(deadline)) {
            running = false;
            return;
        }
        host.loop().after(ROUND_INTERVAL, this::runRound);
    }

    private void contactWithinBudget(Instant roundStart) {
        int sent = 0;
        while (!pending.isEmpty()
                && sent < MAX_CONTACTS_PER_ROUND
                && host.loop().now().isBefore(roundStart.plus(ROUND_BUDGET))) {
            host.contactAgent(pending.poll());
            sent++;
        }
    }

    private void logCompletion(Instant now) {
        LOG.info(
                "failover complete: from={} machines={} openDecisions={} decidedAfterMs={} agentsContactedAfterMs={}",
                failover.formerOwner,
                failover.machines,
                failover.openDecisions,
                Duration.between(failover.viewChangedAt, failover.mayDecideSince)
                        .toMillis(),
                Duration.between(failover.viewChangedAt, now).toMillis());
    }
}
