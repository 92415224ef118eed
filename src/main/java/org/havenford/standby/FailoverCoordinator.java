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
 * Leads from a suspicion to a verdict: a majority of the view must not reach the suspect either, and the suspect must leave
 * a liveness probe in the state service unanswered for a while. Without a majority, or without the state service, nothing happens
 * and the membership lease decides.
 */
final class FailoverCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(FailoverCoordinator.class);
    /** How much later each further member tries, so that mostly one does. */
    private static final Duration DELAY_PER_RANK = Duration.ofMillis(150);
    /** Peers are asked no longer than this; a suspicion that lasts is then left to the lease. */
    private static final Duration ASK_PERIOD = Duration.ofSeconds(5);

    private enum Phase {
        ASKING,
        PROBING,
        WAITING,
        EVICTING
    }

    /** One suspicion, from its beginning until it is over. */
    private static final class Suspicion {
        private final long incarnation;
        private final Instant suspectedAt;
        private final Set<String> agreeing = new HashSet<>();
        private Phase phase = Phase.ASKING;
        private long probeRevision;
        private Instant probedAt;

        Suspicion(long incarnation, Instant since) {
            this.incarnation = incarnation;
            this.suspectedAt = since;
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
            Duration challengeWindow,
            UnaryOperator<String> zoneOf,
            Map<String, PeerLink> links) {
        this.host = host;
        this.detector = detector;
        this.self = self;
        this.probeWindow = challengeWindow;
        this.zoneOf = zoneOf;
        this.links = links;
    }

    /** Looks at every member: begins, advances or abandons a suspicion. */
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
                begin(node, incarnation);
            } else {
                advance(node, suspicion, view);
            }
        }
    }

    /** This process was paused: what it began rests on silence that it can't judge. */
    void processPaused() {
        for (String node : Set.copyOf(suspicions.keySet())) {
            abandon(node, suspicions.get(node));
        }
    }

    private void abandon(String node, Suspicion suspicion) {
        if (suspicion == null || suspicion.phase == Phase.PROBING || suspicion.phase == Phase.EVICTING) {
            // What is under way tells its outcome first.
            return;
        }
        suspicions.remove(node);
        if (suspicion.probeRevision != 0) {
            LOG.info("suspicion withdrawn: node={}", node);
            host.withdrawProbe(node, suspicion.probeRevision);
        }
    }

    private void begin(String node, long incarnation) {
        if (host.mayEvict(node)) {
            suspicions.put(node, new Suspicion(incarnation, host.loop().now()));
            ask(node, incarnation);
        }
    }

    private void ask(String node, long incarnation) {
        for (PeerLink link : links.values()) {
            if (!link.name().equals(node)) {
                link.send(new ReachabilityQuestion(node, incarnation));
            }
        }
    }

    private void advance(String node, Suspicion suspicion, ClusterView view) {
        Instant now = host.loop().now();
        if (suspicion.phase == Phase.ASKING) {
            if (suspicion.agreeing.size() + 1 >= Succession.majority(view)) {
                probeInTurn(node, suspicion, view, now);
            } else if (now.isBefore(suspicion.suspectedAt.plus(ASK_PERIOD))) {
                ask(node, suspicion.incarnation);
            }
        } else if (suspicion.phase == Phase.WAITING && now.isAfter(suspicion.probedAt.plus(probeWindow))) {
            evict(node, suspicion);
        }
    }

    private void probeInTurn(String node, Suspicion suspicion, ClusterView view, Instant now) {
        List<String> conductors = Succession.evictionOrder(view, node, zoneOf);
        Duration turn = DELAY_PER_RANK.multipliedBy(Math.max(0, conductors.indexOf(self)));
        if (now.isBefore(suspicion.suspectedAt.plus(turn)) || !host.mayEvict(node)) {
            return;
        }
        suspicion.phase = Phase.PROBING;
        host.probe(node, suspicion.incarnation, modRevision -> {
            if (modRevision == 0) {
                // Another member asks, the view has changed, or the state service is out of reach.
                suspicions.remove(node, suspicion);
                return;
            }
            suspicion.phase = Phase.WAITING;
            suspicion.probeRevision = modRevision;
            suspicion.probedAt = host.loop().now();
            host.loop().after(probeWindow.plusMillis(2), this::step);
        });
    }

    private void evict(String node, Suspicion suspicion) {
        suspicion.phase = Phase.EVICTING;
        Duration after = Duration.between(suspicion.suspectedAt, host.loop().now());
        host.evict(node, suspicion.incarnation, suspicion.probeRevision, committed -> {
            if (!committed && host.probeIsUnanswered(node, suspicion.probeRevision)) {
                // The view has changed meanwhile, as by a move of machines: the probe is as good under the new one.
                suspicion.phase = Phase.WAITING;
                return;
            }
            suspicions.remove(node, suspicion);
            if (committed) {
                LOG.info("member evicted: node={} suspectedForMs={}", node, after.toMillis());
            } else {
                LOG.info("member not evicted, it answered or the view changed: node={}", node);
            }
        });
    }

    /** A peer asks whether this node reaches another. */
    void handleQuestion(PeerLink from, ReachabilityQuestion question) {
        boolean reachable = !detector.suspects(question.node(), question.incarnation());
        from.send(new ReachabilityAnswer(question.node(), question.incarnation(), reachable));
    }

    /** A peer has answered whether it reaches a suspect. */
    void handleAnswer(PeerLink from, ReachabilityAnswer answer) {
        Suspicion suspicion = suspicions.get(answer.node());
        if (suspicion == null || suspicion.incarnation != answer.incarnation()) {
            return;
        }
        if (answer.reachable()) {
            suspicion.agreeing.remove(from.name());
        } else if (suspicion.agreeing.add(from.name())) {
            step();
        }
    }
}
