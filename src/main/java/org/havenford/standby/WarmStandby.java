package org.havenford.standby;

import java.time.Duration;
import java.time.Instant;
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
import org.havenford.standby.PeerMessage.Outcome;
import org.havenford.standby.PeerMessage.ReachabilityAnswer;
import org.havenford.standby.PeerMessage.ReachabilityQuestion;
import org.havenford.storage.StoreOutcome;
import org.havenford.storage.records.ClusterView;
import org.havenford.transport.PeerNetwork;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Warm standby of one controller. It replicates the agent contacts and open decisions of its peers, sends its own to them,
 * evicts failed peers, and contacts the agents of machines that this node took over from a member that left the view. All
 * methods run on the controller's event loop.
 */
public final class WarmStandby implements StandbyHost.Observer {
    private static final Logger LOG = LoggerFactory.getLogger(WarmStandby.class);
    private static final Duration CONTACTS_INTERVAL = Duration.ofSeconds(1);
    private static final Duration SUMMARY_INTERVAL = Duration.ofSeconds(60);

    private final StandbyHost host;
    private final PeerNetwork network;
    private final PlatformSettings settings;
    private final StandbySettings standbySettings;
    private final Map<String, PeerLink> links = new TreeMap<>();
    private final FailoverCoordinator failoverCoordinator;
    private final DecisionLog decisions = new DecisionLog();
    private final FailoverContacts failoverContacts;
    private final InboundConnections inboundConnections;
    private ClusterView previousView = ClusterView.empty();
    private Succession succession = new Succession(ClusterView.empty());
    private Instant lastTick;
    private Instant nextContacts;
    private Instant nextSummary;

    /** Creates a standby that is inactive until {@link #start()}. */
    public WarmStandby(
            StandbyHost host, PeerNetwork network, PlatformSettings settings, StandbySettings standbySettings) {
        this.host = host;
        this.network = network;
        this.settings = settings;
        this.standbySettings = standbySettings;
        for (PlatformSettings.Peer peer : settings.peers()) {
            PeerLink link = new PeerLink(
                    host,
                    network,
                    peer,
                    settings.node(),
                    standbySettings,
                    decisions,
                    this::handleMessage,
                    this::scheduleStep);
            links.put(peer.node(), link);
        }
        failoverContacts = new FailoverContacts(host);
        inboundConnections =
                new InboundConnections(host, standbySettings.suspectAfter().multipliedBy(2), links);
        failoverCoordinator = new FailoverCoordinator(
                host, this::suspects, settings.node(), standbySettings.probeWindow(), this::zoneOf, links);
    }

    /** Starts observing the host, listening for peers, and dialing them. */
    public void start() {
        host.observe(this);
        Instant now = host.loop().now();
        lastTick = now;
        nextContacts = now.plus(CONTACTS_INTERVAL);
        nextSummary = now.plus(SUMMARY_INTERVAL);
        network.listen(settings.peerListen(), inboundConnections::accept);
        links.values().forEach(PeerLink::start);
        tick();
    }

    private boolean suspects(String node, long incarnation) {
        PeerLink link = links.get(node);
        return link != null && link.isSuspected(incarnation);
    }

    private String zoneOf(String node) {
        PeerLink link = links.get(node);
        return link == null ? settings.zone() : link.zone();
    }

    private void handleMessage(PeerLink from, PeerMessage message) {
        if (message instanceof ReachabilityQuestion question) {
            failoverCoordinator.handleQuestion(from, question);
        } else if (message instanceof ReachabilityAnswer answer) {
            failoverCoordinator.handleAnswer(from, answer);
        }
    }

    private void scheduleStep() {
        // Scheduled rather than run at once, because a link may call this while it sends or reads.
        host.loop().after(Duration.ZERO, failoverCoordinator::step);
    }

    private void tick() {
        host.loop().after(standbySettings.heartbeat(), () -> {
            tick();
            Instant now = host.loop().now();
            if (now.isAfter(lastTick.plus(standbySettings.suspectAfter().dividedBy(2)))) {
                // This tick was late, so messages of the peers may have arrived that are not read yet.
                links.values().forEach(PeerLink::resetFailureDetection);
            }
            lastTick = now;
            links.values().forEach(PeerLink::heartbeat);
            if (!now.isBefore(nextContacts)) {
                nextContacts = now.plus(CONTACTS_INTERVAL);
                sendContacts();
            }
            failoverCoordinator.step();
            logSummary(now);
        });
    }

    private void sendContacts() {
        Map<String, List<AgentContact>> byStandby = new HashMap<>();
        if (host.mayDecide()) {
            for (AgentContact contact : host.agentContacts()) {
                String successor = succession.standbyOf(contact.machine());
                if (successor != null && links.containsKey(successor) && FrameCodec.isEncodable(contact)) {
                    byStandby.computeIfAbsent(successor, s -> new ArrayList<>()).add(contact);
                }
            }
        }
        links.forEach((name, link) -> link.sendContacts(byStandby.getOrDefault(name, List.of())));
    }

    private void logSummary(Instant now) {
        if (now.isBefore(nextSummary)) {
            return;
        }
        nextSummary = now.plus(SUMMARY_INTERVAL);
        long bytes = 0;
        List<String> peerStates = new ArrayList<>();
        for (PeerLink link : links.values()) {
            bytes += link.getAndResetBytesSent();
            Follower follower = link.follower();
            peerStates.add("peer=" + link.name() + " connected=" + link.connected()
                    + " machines=" + follower.contacts().size()
                    + " openDecisions=" + follower.openDecisions()
                    + " revisionsBehind=" + Math.max(0, follower.highestRevision() - host.replicaRevision()));
        }
        LOG.info("standby: peers={} decisions={} bytesSent={}", peerStates, decisions.getAndResetCount(), bytes);
    }

    @Override
    public void processPaused() {
        links.values().forEach(PeerLink::resetFailureDetection);
        failoverCoordinator.processPaused();
        lastTick = host.loop().now();
    }

    @Override
    public long commitStarted(List<String> keys) {
        long number = decisions.begin(keys);
        links.values().forEach(link -> link.sendIntent(number, keys));
        return number;
    }

    @Override
    public void commitFinished(long number, StoreOutcome outcome, long revision) {
        decisions.end(number);
        boolean known = outcome != StoreOutcome.UNKNOWN;
        links.values().forEach(link -> link.send(new Outcome(number, known, revision)));
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

    /** Contacts the agents of machines that moved to this node from a member that left, the most urgent machines first. */
    private void takeOver(String node, long incarnation, ClusterView view) {
        Follower follower = links.get(node).follower();
        if (follower.incarnation() != incarnation) {
            return;
        }
        List<AgentContact> takenOver = follower.contacts();
        takenOver.removeIf(contact -> !settings.node().equals(view.owner(contact.machine())));
        takenOver.sort(Comparator.comparingInt(contact -> host.priorityRank(contact.machine())));
        failoverContacts.begin(node, takenOver, follower.openDecisions());
    }
}
