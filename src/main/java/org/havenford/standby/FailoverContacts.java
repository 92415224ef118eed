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
 * Contacts the agents of machines that were taken over, within a budget for each round. Nothing is sent before the replica has
 * passed the view: from then on this node has seen everything that the former owner can have committed on these machines.
 */
final class FailoverContacts {
    private static final Logger LOG = LoggerFactory.getLogger(FailoverContacts.class);
    private static final Duration ROUND_INTERVAL = Duration.ofMillis(20);
    private static final Duration ROUND_BUDGET = Duration.ofMillis(5);
    private static final int MAX_CONTACTS_PER_ROUND = 50;
    /** Agents that were not contacted by then have long sent a heartbeat by themselves. */
    private static final Duration PERIOD = Duration.ofSeconds(20);

    /** One failover, with what is logged once its agents have been contacted. */
    private static final class Failover {
        private final String from;
        private final Instant viewAt;
        private final int machines;
        private final int openDecisions;
        private Instant decidedAt;

        Failover(String from, Instant viewAt, int machines, int openDecisions) {
            this.from = from;
            this.viewAt = viewAt;
            this.machines = machines;
            this.openDecisions = openDecisions;
        }
    }

    private final StandbyHost host;
    private final ArrayDeque<AgentContact> pending = new ArrayDeque<>();
    private Instant until = Instant.MIN;
    private boolean running;
    /** The latest one; null before the first. */
    private Failover failover;

    FailoverContacts(StandbyHost host) {
        this.host = host;
    }

    /** Begins to contact the agents of machines taken over from a member, in the given order. */
    void begin(String from, List<AgentContact> contacts, int openDecisions) {
        pending.addAll(contacts);
        Instant now = host.loop().now();
        failover = new Failover(from, now, contacts.size(), openDecisions);
        until = now.plus(PERIOD);
        if (!running) {
            running = true;
            host.loop().after(Duration.ZERO, this::round);
        }
    }

    private void round() {
        Instant now = host.loop().now();
        if (now.isAfter(until)) {
            pending.clear();
        }
        if (host.mayDecide() && host.replicaRevision() >= host.viewRevision()) {
            failover.decidedAt = failover.decidedAt == null ? now : failover.decidedAt;
            contactWithinBudget(now);
            if (pending.isEmpty()) {
                running = false;
                log(host.loop().now());
                return;
            }
        }
        if (now.isAfter(until)) {
            running = false;
            return;
        }
        host.loop().after(ROUND_INTERVAL, this::round);
    }

    private void contactWithinBudget(Instant roundStart) {
        int sent = 0;
        while (!pending.isEmpty()
                && sent < MAX_CONTACTS_PER_ROUND
                && host.loop().now().isBefore(roundStart.plus(ROUND_BUDGET))) {
            host.contact(pending.poll());
            sent++;
        }
    }

    private void log(Instant now) {
        LOG.info(
                "failover complete: from={} machines={} openDecisions={} decidedAfterMs={} agentsContactedAfterMs={}",
                failover.from,
                failover.machines,
                failover.openDecisions,
                Duration.between(failover.viewAt, failover.decidedAt).toMillis(),
                Duration.between(failover.viewAt, now).toMillis());
    }
}
