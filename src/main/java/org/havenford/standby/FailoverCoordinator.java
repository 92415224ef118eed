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
import org.havenford.standby.PeerMessage.ReachAnswer;
import org.havenford.standby.PeerMessage.ReachQuestion;
import org.havenford.storage.records.ClusterView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leads from a suspicion to a verdict: a majority of the view must not reach the suspect either, and the suspect must leave
 * a question in the state service unanswered for a while. Without a majority, or without the state service, nothing happens
 * and the membership lease decides.
 */
final class FailoverCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(FailoverCoordinator.class);
    /** How much later each further member tries, so that mostly one does. */
    private static final Duration PER_RANK = Duration.ofMillis(150);
    /** Peers are asked no longer than this; a suspicion that lasts is then left to the lease. */
    private static final Duration ASK_FOR = Duration.ofSeconds(5);

    private enum Phase {
        ASKING,
        CHALLENGING,
        WAITING,
        EVICTING
    }

    /** One suspicion, from its beginning until it is over. */
    private static final class Attempt {
        private final long incarnation;
        private final Instant since;
        private final Set<String> agreeing = new HashSet<>();
        private Phase phase = Phase.ASKING;
        private long challengeStamp;
        private Instant challengedAt;

        Attempt(long incarnation, Instant since) {
            this.incarnation = incarnation;
            this.since = since;
        }
    }

    private final StandbyHost host;
    private final FailureDetector detector;
    private final String self;
    private final Duration challengeWindow;
    private final UnaryOperator<String> zoneOf;
    private final Map<String, PeerLink> links;
    private final Map<String, Attempt> attempts = new HashMap<>();

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
        this.challengeWindow = challengeWindow;
        this.zoneOf = zoneOf;
        this.links = links;
    }

    /** Looks at every member: begins, goes on with, or gives up an attempt. */
    void step() {
        ClusterView view = host.view();
        for (String node : links.keySet()) {
            Long incarnation = view.members().get(node);
            Attempt attempt = attempts.get(node);
            if (attempt != null && (incarnation == null || attempt.incarnation != incarnation)) {
                attempts.remove(node);
                attempt = null;
            }
            boolean suspected = incarnation != null && detector.suspects(node, incarnation);
            if (!suspected) {
                giveUp(node, attempt);
            } else if (attempt == null) {
                begin(node, incarnation);
            } else {
                goOn(node, attempt, view);
            }
        }
    }

    /** This process has stood still: what it began rests on silence that it can't judge. */
    void stoodStill() {
        for (String node : Set.copyOf(attempts.keySet())) {
            giveUp(node, attempts.get(node));
        }
    }

    private void giveUp(String node, Attempt attempt) {
        if (attempt == null || attempt.phase == Phase.CHALLENGING || attempt.phase == Phase.EVICTING) {
            // What is under way tells its outcome first.
            return;
        }
        attempts.remove(node);
        if (attempt.challengeStamp != 0) {
            LOG.info("{} is not suspected any more", node);
            host.withdrawProbe(node, attempt.challengeStamp);
        }
    }

    private void begin(String node, long incarnation) {
        if (host.mayEvict(node)) {
            attempts.put(node, new Attempt(incarnation, host.loop().now()));
            ask(node, incarnation);
        }
    }

    private void ask(String node, long incarnation) {
        for (PeerLink link : links.values()) {
            if (!link.name().equals(node)) {
                link.send(new ReachQuestion(node, incarnation));
            }
        }
    }

    private void goOn(String node, Attempt attempt, ClusterView view) {
        Instant now = host.loop().now();
        if (attempt.phase == Phase.ASKING) {
            if (attempt.agreeing.size() + 1 >= Succession.majority(view)) {
                challengeInTurn(node, attempt, view, now);
            } else if (now.isBefore(attempt.since.plus(ASK_FOR))) {
                ask(node, attempt.incarnation);
            }
        } else if (attempt.phase == Phase.WAITING && now.isAfter(attempt.challengedAt.plus(challengeWindow))) {
            evict(node, attempt);
        }
    }

    private void challengeInTurn(String node, Attempt attempt, ClusterView view, Instant now) {
        List<String> conductors = Succession.conductors(view, node, zoneOf);
        Duration turn = PER_RANK.multipliedBy(Math.max(0, conductors.indexOf(self)));
        if (now.isBefore(attempt.since.plus(turn)) || !host.mayEvict(node)) {
            return;
        }
        attempt.phase = Phase.CHALLENGING;
        host.probe(node, attempt.incarnation, stamp -> {
            if (stamp == 0) {
                // Another member asks, the view has changed, or the state service is out of reach.
                attempts.remove(node, attempt);
                return;
            }
            attempt.phase = Phase.WAITING;
            attempt.challengeStamp = stamp;
            attempt.challengedAt = host.loop().now();
            host.loop().after(challengeWindow.plusMillis(2), this::step);
        });
    }

    private void evict(String node, Attempt attempt) {
        attempt.phase = Phase.EVICTING;
        Duration after = Duration.between(attempt.since, host.loop().now());
        host.evict(node, attempt.incarnation, attempt.challengeStamp, committed -> {
            if (!committed && host.probeIsUnanswered(node, attempt.challengeStamp)) {
                // The view has changed meanwhile, as by a move of machines: the question is as good under the new one.
                attempt.phase = Phase.WAITING;
                return;
            }
            attempts.remove(node, attempt);
            if (committed) {
                LOG.info("{} was evicted {} ms after it was suspected", node, after.toMillis());
            } else {
                LOG.info("{} was not evicted: it has answered, or the view has changed", node);
            }
        });
    }

    /** A peer asks whether this node reaches another. */
    void question(PeerLink from, ReachQuestion question) {
        boolean reachable = !detector.suspects(question.node(), question.incarnation());
        from.send(new ReachAnswer(question.node(), question.incarnation(), reachable));
    }

    /** A peer has answered whether it reaches a suspect. */
    void answer(PeerLink from, ReachAnswer answer) {
        Attempt attempt = attempts.get(answer.node());
        if (attempt == null || attempt.incarnation != answer.incarnation()) {
            return;
        }
        if (answer.reachable()) {
            attempt.agreeing.remove(from.name());
        } else if (attempt.agreeing.add(from.name())) {
            step();
        }
    }
}
