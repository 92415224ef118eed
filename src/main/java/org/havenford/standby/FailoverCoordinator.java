package org.havenford.standby;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.havenford.coordination.failover.StandbyHost;
import org.havenford.standby.PeerMessage.ReachabilityAnswer;
import org.havenford.standby.PeerMessage.ReachabilityQuestion;
import org.havenford.storage.records.ClusterView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Evicts suspected members from the view. An eviction requires that a majority of the view, this node included, cannot reach
 * the suspect, and that the suspect leaves a liveness probe in the store unanswered for the probe window. Without a majority
 * or without the store no member is evicted, and a failed member stays in the view until its membership lease expires.
 */
final class FailoverCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(FailoverCoordinator.class);
    /** Delay for each position in the eviction order, so that usually only one member creates a probe. */
    private static final Duration DELAY_PER_RANK = Duration.ofMillis(150);
    /** How long the queries about a suspect are repeated. A suspicion that lasts longer is left to the membership lease. */
    private static final Duration QUERY_PERIOD = Duration.ofSeconds(5);

    private enum Phase {
        QUERYING_PEERS,
        CREATING_PROBE,
        AWAITING_ANSWER,
        EVICTING
    }

    /** State of the suspicion of one member. */
    private static final class Suspicion {
        private final long incarnation;
        private final Instant suspectedAt;
        private final Set<String> confirmedBy = new HashSet<>();
        private Phase phase = Phase.QUERYING_PEERS;
        private long probeRevision;
        private Instant probedAt;

        Suspicion(long incarnation, Instant suspectedAt) {
            this.incarnation = incarnation;
            this.suspectedAt = suspectedAt;
        }
    }

    private final StandbyHost host;
    private final FailureDetector detector;
    private final String self;
    private final Duration probeWindow;
    private final UnaryOperator<String> zoneOf;
    private final Map<String, PeerLink> links;
    private final Map<String, Suspicion> suspicions = new HashMap<>();

    FailoverCoordinator(
            StandbyHost host,
            FailureDetector detector,
            String self,
            Duration probeWindow,
            UnaryOperator<String> zoneOf,
            Map<String, PeerLink> links) {
        this.host = host;
        this.detector = detector;
        this.self = self;
        this.probeWindow = probeWindow;
        this.zoneOf = zoneOf;
        this.links = links;
    }

    /** Begins, advances or abandons the suspicion of each peer. */
    void step() {
        ClusterView view = host.view();
        for (String node : links.keySet()) {
            Long incarnation = view.members().get(node);
            Suspicion suspicion = suspicions.get(node);
            if (suspicion != null && (incarnation == null || suspicion.incarnation != incarnation)) {
                suspicions.remove(node);
                suspicion = null;
            }
            boolean suspected = incarnation != null && detector.suspects(node, incarnation);
            if (!suspected) {
                abandon(node, suspicion);
            } else if (suspicion == null) {
                beginSuspicion(node, incarnation);
            } else {
                advance(node, suspicion, view);
            }
        }
    }

    /**
     * Abandons suspicions after a pause of this process, as it could not receive anything from its peers meanwhile.
     * Those with a store request in flight stay until it is answered.
     */
    void processPaused() {
        for (String node : Set.copyOf(suspicions.keySet())) {
            abandon(node, suspicions.get(node));
        }
    }

    private void abandon(String node, Suspicion suspicion) {
        if (suspicion == null || suspicion.phase == Phase.CREATING_PROBE || suspicion.phase == Phase.EVICTING) {
            // A request to the store is in flight; its callback decides how to proceed.
            return;
        }
        suspicions.remove(node);
        if (suspicion.probeRevision != 0) {
            LOG.info("suspicion withdrawn: node={}", node);
            host.withdrawProbe(node, suspicion.probeRevision);
        }
    }

    private void beginSuspicion(String node, long incarnation) {
        if (host.mayEvict(node)) {
            suspicions.put(node, new Suspicion(incarnation, host.loop().now()));
            queryPeers(node, incarnation);
        }
    }

    private void queryPeers(String node, long incarnation) {
        for (PeerLink link : links.values()) {
            if (!link.name().equals(node)) {
                link.send(new ReachabilityQuestion(node, incarnation));
            }
        }
    }

    private void advance(String node, Suspicion suspicion, ClusterView view) {
        Instant now = host.loop().now();
        if (suspicion.phase == Phase.QUERYING_PEERS) {
            if (suspicion.confirmedBy.size() + 1 >= Succession.majority(view)) {
                probeAfterDelay(node, suspicion, view, now);
            } else if (now.isBefore(suspicion.suspectedAt.plus(QUERY_PERIOD))) {
                queryPeers(node, suspicion.incarnation);
            }
        } else if (suspicion.phase == Phase.AWAITING_ANSWER && now.isAfter(suspicion.probedAt.plus(probeWindow))) {
            evict(node, suspicion);
        }
    }

    private void probeAfterDelay(String node, Suspicion suspicion, ClusterView view, Instant now) {
        List<String> evictionOrder = Succession.evictionOrder(view, node, zoneOf);
        Duration delay = DELAY_PER_RANK.multipliedBy(Math.max(0, evictionOrder.indexOf(self)));
        if (now.isBefore(suspicion.suspectedAt.plus(delay)) || !host.mayEvict(node)) {
            return;
        }
        suspicion.phase = Phase.CREATING_PROBE;
        host.createLivenessProbe(node, suspicion.incarnation, modRevision -> {
            if (modRevision == 0) {
                // Another member has a probe outstanding, the view has changed, or the store is unreachable.
                suspicions.remove(node, suspicion);
                return;
            }
            suspicion.phase = Phase.AWAITING_ANSWER;
            suspicion.probeRevision = modRevision;
            suspicion.probedAt = host.loop().now();
            host.loop().after(probeWindow.plusMillis(2), this::step);
        });
    }

    private void evict(String node, Suspicion suspicion) {
        suspicion.phase = Phase.EVICTING;
        Duration suspectedFor =
                Duration.between(suspicion.suspectedAt, host.loop().now());
        host.evict(node, suspicion.incarnation, suspicion.probeRevision, committed -> {
            if (!committed && host.isProbeUnanswered(node, suspicion.probeRevision)) {
                // The view changed in the meantime, for example by a reassignment of machines. The probe stays
                // valid under the new view, so the eviction is retried with the same probe.
                suspicion.phase = Phase.AWAITING_ANSWER;
                return;
            }
            suspicions.remove(node, suspicion);
            if (committed) {
                LOG.info("member evicted: node={} suspectedForMs={}", node, suspectedFor.toMillis());
            } else {
                LOG.info("member not evicted, it answered or the view changed: node={}", node);
            }
        });
    }

    /** Answers a peer whether this node can reach another member. */
    void handleQuestion(PeerLink from, ReachabilityQuestion question) {
        boolean reachable = !detector.suspects(question.node(), question.incarnation());
        from.send(new ReachabilityAnswer(question.node(), question.incarnation(), reachable));
    }

    /** Records a peer's answer whether it can reach a suspect. */
    void handleAnswer(PeerLink from, ReachabilityAnswer answer) {
        Suspicion suspicion = suspicions.get(answer.node());
        if (suspicion == null || suspicion.incarnation != answer.incarnation()) {
            return;
        }
        if (answer.reachable()) {
            suspicion.confirmedBy.remove(from.name());
        } else if (suspicion.confirmedBy.add(from.name())) {
            step();
        }
    }
}
