package org.havenford.standby;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.havenford.coordination.agents.AgentContact;
import org.havenford.coordination.failover.StandbyHost;
import org.havenford.settings.PlatformSettings;
import org.havenford.settings.StandbySettings;
import org.havenford.standby.FrameCodec.Frame;
import org.havenford.standby.PeerMessage.Hello;
import org.havenford.standby.PeerMessage.Outcome;
import org.havenford.standby.PeerMessage.ReachAnswer;
import org.havenford.standby.PeerMessage.ReachQuestion;
import org.havenford.storage.StoreOutcome;
import org.havenford.storage.records.ClusterView;
import org.havenford.transport.PeerNetwork;
import org.havenford.transport.PeerNetwork.Connection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The standby of one controller: follows its peers, lets them follow, and turns to the workers of machines that came from a
 * member that has left. All of it on the controller's event loop.
 */
public final class WarmStandby implements StandbyHost.Observer {
    private static final Logger LOG = LoggerFactory.getLogger(WarmStandby.class);
    private static final Duration NOTES_EVERY = Duration.ofSeconds(1);
    private static final Duration SUMMARY_EVERY = Duration.ofSeconds(60);
    /** Between two rounds of turning to workers, and what one round may take. */
    private static final Duration CONTACT_EVERY = Duration.ofMillis(20);

    private static final Duration CONTACT_BUDGET = Duration.ofMillis(5);
    private static final int MOST_CONTACTS_A_ROUND = 50;
    /** Workers that were not turned to by then have long reported by themselves. */
    private static final Duration CONTACT_FOR = Duration.ofSeconds(20);
    /** Connections that have not said who they are. */
    private static final int MAX_UNNAMED = 32;

    private final StandbyHost host;
    private final PeerNetwork network;
    private final PlatformSettings settings;
    private final StandbySettings standby;
    private final Map<String, PeerLink> links = new TreeMap<>();
    private final FailoverCoordinator failoverCoordinator;
    private final ArrayDeque<AgentContact> toContact = new ArrayDeque<>();
    private final DecisionLog decisions = new DecisionLog();
    private int unnamed;
    private Instant contactUntil = Instant.MIN;
    private boolean contacting;
    private ClusterView previousView = ClusterView.empty();
    private Succession succession = new Succession(ClusterView.empty());
    private Instant lastTick;
    private Instant nextNotes;
    private Instant nextSummary;
    private Takeover takeover;

    /** A take-over that goes on: what is told of it once its machines have been turned to. */
    private static final class Takeover {
        private final String from;
        private final Instant viewAt;
        private final int machines;
        private final int openDecisions;
        private Instant decidedAt;

        Takeover(String from, Instant viewAt, int machines, int openDecisions) {
            this.from = from;
            this.viewAt = viewAt;
            this.machines = machines;
            this.openDecisions = openDecisions;
        }
    }

    /** A standby that does nothing until it is started. */
    public WarmStandby(StandbyHost host, PeerNetwork network, PlatformSettings settings, StandbySettings standby) {
        this.host = host;
        this.network = network;
        this.settings = settings;
        this.standby = standby;
        for (PlatformSettings.Peer peer : settings.peers()) {
            PeerLink link = new PeerLink(
                    host, network, peer, settings.node(), standby, decisions, this::received, this::linkChanged);
            links.put(peer.node(), link);
        }
        failoverCoordinator = new FailoverCoordinator(
                host, this::suspects, settings.node(), standby.challenge(), this::zoneOf, links);
    }

    /** Begins to listen, to dial, and to follow. */
    public void start() {
        host.observe(this);
        Instant now = host.loop().now();
        lastTick = now;
        nextNotes = now.plus(NOTES_EVERY);
        nextSummary = now.plus(SUMMARY_EVERY);
        network.listen(settings.peerListen(), this::accepted);
        links.values().forEach(PeerLink::start);
        tick();
    }

    private boolean suspects(String node, long incarnation) {
        PeerLink link = links.get(node);
        return link != null && link.suspects(incarnation);
    }

    private String zoneOf(String node) {
        PeerLink link = links.get(node);
        return link == null ? settings.zone() : link.zone();
    }

    // ---- connections

    /** Who has opened a connection is known with its first message. */
    private void accepted(Connection connection) {
        host.eventStarted();
        if (unnamed >= MAX_UNNAMED) {
            connection.close();
            return;
        }
        unnamed++;
        boolean[] over = {false};
        Runnable named = () -> {
            if (!over[0]) {
                over[0] = true;
                unnamed--;
            }
        };
        host.loop().after(standby.suspectAfter().multipliedBy(2), () -> {
            if (!over[0]) {
                connection.close();
                named.run();
            }
        });
        FrameDecoder decoder = new FrameDecoder();
        connection.receiver(new PeerNetwork.Receiver() {
            @Override
            public void received(ByteBuffer bytes) {
                host.eventStarted();
                if (!over[0]) {
                    firstBytes(connection, decoder, bytes, named);
                }
            }

            @Override
            public void closed(String reason) {
                named.run();
            }
        });
    }

    private void firstBytes(Connection connection, FrameDecoder decoder, ByteBuffer bytes, Runnable named) {
        try {
            List<Frame> frames = decoder.feed(bytes);
            if (frames.isEmpty()) {
                return;
            }
            if (!(frames.get(0).message() instanceof Hello hello) || !links.containsKey(hello.node())) {
                throw new MalformedFrameException("the first message is no hello of a peer");
            }
            named.run();
            links.get(hello.node()).accept(connection, decoder, frames);
        } catch (MalformedFrameException e) {
            LOG.warn("a connection that came in is closed: {}", e.getMessage());
            connection.close();
            named.run();
        }
    }

    private void received(PeerLink from, PeerMessage message) {
        if (message instanceof ReachQuestion question) {
            failoverCoordinator.question(from, question);
        } else if (message instanceof ReachAnswer answer) {
            failoverCoordinator.answer(from, answer);
        }
    }

    private void linkChanged() {
        // Not in the middle of what has told of it.
        host.loop().after(Duration.ZERO, failoverCoordinator::step);
    }

    // ---- time

    private void tick() {
        host.loop().after(standby.heartbeat(), () -> {
            tick();
            Instant now = host.loop().now();
            if (now.isAfter(lastTick.plus(standby.suspectAfter().dividedBy(2)))) {
                // This process was late itself: it may not have read yet what has come in the meantime.
                links.values().forEach(PeerLink::forgiveSilence);
            }
            lastTick = now;
            links.values().forEach(PeerLink::heartbeat);
            if (!now.isBefore(nextNotes)) {
                nextNotes = now.plus(NOTES_EVERY);
                sendNotes();
            }
            failoverCoordinator.step();
            summary(now);
        });
    }

    private void sendNotes() {
        Map<String, List<AgentContact>> byStandby = new HashMap<>();
        if (host.mayDecide()) {
            for (AgentContact contact : host.agentContacts()) {
                String successor = succession.standby(contact.machine());
                if (successor != null && links.containsKey(successor) && FrameCodec.fits(contact)) {
                    byStandby.computeIfAbsent(successor, s -> new ArrayList<>()).add(contact);
                }
            }
        }
        links.forEach((name, link) -> link.sendNotes(byStandby.getOrDefault(name, List.of())));
    }

    private void summary(Instant now) {
        if (now.isBefore(nextSummary)) {
            return;
        }
        nextSummary = now.plus(SUMMARY_EVERY);
        long bytes = 0;
        List<String> states = new ArrayList<>();
        for (PeerLink link : links.values()) {
            bytes += link.takeBytesSent();
            Follower follower = link.follower();
            states.add(link.name() + (link.connected() ? " connected" : " not connected")
                    + ", machines " + follower.machines().size()
                    + ", open decisions " + follower.openDecisions()
                    + ", editions behind " + Math.max(0, follower.highestEdition() - host.replicaRevision()));
        }
        LOG.info("standby: {}; {} decisions and {} bytes sent", states, decisions.takeCount(), bytes);
    }

    // ---- what the host tells

    @Override
    public void processPaused() {
        links.values().forEach(PeerLink::forgiveSilence);
        failoverCoordinator.stoodStill();
        lastTick = host.loop().now();
    }

    @Override
    public long committing(List<String> keys) {
        long number = decisions.begin(keys);
        links.values().forEach(link -> link.sendIntent(number, keys));
        return number;
    }

    @Override
    public void finished(long number, StoreOutcome outcome, long edition) {
        decisions.end(number);
        boolean known = outcome != StoreOutcome.UNKNOWN;
        links.values().forEach(link -> link.send(new Outcome(number, known, edition)));
    }

    @Override
    public void viewChanged() {
        ClusterView view = host.view();
        succession = new Succession(view);
        previousView.members().forEach((node, incarnation) -> {
            if (!incarnation.equals(view.members().get(node)) && links.containsKey(node)) {
                takeOver(node, incarnation, view);
            }
        });
        previousView = view;
    }

    /** Notes of machines that have come to this node from a member that has left, the most urgent first. */
    private void takeOver(String node, long incarnation, ClusterView view) {
        Follower follower = links.get(node).follower();
        if (follower.incarnation() != incarnation) {
            return;
        }
        List<AgentContact> mine = follower.machines();
        mine.removeIf(contact -> !settings.node().equals(view.owner(contact.machine())));
        mine.sort(Comparator.comparingInt(contact -> host.urgency(contact.machine())));
        toContact.addAll(mine);
        Instant now = host.loop().now();
        takeover = new Takeover(node, now, mine.size(), follower.openDecisions());
        contactUntil = now.plus(CONTACT_FOR);
        if (!contacting) {
            contacting = true;
            host.loop().after(Duration.ZERO, this::contactSome);
        }
    }

    /**
     * Turns to workers as far as the budget of a round goes. Not before the replica has passed the view: from then on this
     * node has seen everything that the former owner can have committed on these machines.
     */
    private void contactSome() {
        Instant now = host.loop().now();
        if (now.isAfter(contactUntil)) {
            toContact.clear();
        }
        if (host.mayDecide() && host.replicaRevision() >= host.viewRevision()) {
            takeover.decidedAt = takeover.decidedAt == null ? now : takeover.decidedAt;
            int sent = 0;
            while (!toContact.isEmpty()
                    && sent < MOST_CONTACTS_A_ROUND
                    && host.loop().now().isBefore(now.plus(CONTACT_BUDGET))) {
                host.contact(toContact.poll());
                sent++;
            }
            if (toContact.isEmpty()) {
                contacting = false;
                tell(takeover, host.loop().now());
                return;
            }
        }
        if (now.isAfter(contactUntil)) {
            contacting = false;
            return;
        }
        host.loop().after(CONTACT_EVERY, this::contactSome);
    }

    private void tell(Takeover over, Instant now) {
        LOG.info(
                "took over {} machines of {}, {} of its decisions open: decided {} ms after the view, all workers told after {} ms",
                over.machines,
                over.from,
                over.openDecisions,
                Duration.between(over.viewAt, over.decidedAt).toMillis(),
                Duration.between(over.viewAt, now).toMillis());
    }
}
