package org.havenford.coordination.monitoring;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.havenford.settings.PlatformSettings;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Monitors whether this controller can reach the state service, the cloud and the agents, so that the log and
 * {@code /healthz} can report lost links and how long they have been lost. No decision depends on it.
 */
public final class LinkMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(LinkMonitor.class);
    /** Minimum time without success after which the link to the state service or the cloud counts as lost. */
    private static final Duration LOST_AFTER = Duration.ofSeconds(3);

    /** Minimum number of consecutive failures before a link counts as lost. */
    private static final int MIN_FAILURES = 2;
    /** Number of heartbeat intervals without any heartbeat after which the link to the agents counts as lost. */
    private static final int MISSED_HEARTBEATS = 3;

    private static final int SERVICE_UNAVAILABLE = 503;

    /** A link to a service, or to the agents, that this controller depends on. */
    enum Link {
        STATE_SERVICE("state_service"),
        CLOUD("cloud"),
        AGENTS("workers");

        /** The name of the link in the health check response. */
        private final String healthName;

        Link(String healthName) {
            this.healthName = healthName;
        }

        String logName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Why a link does not work. */
    private enum Failure {
        REFUSED("it refuses this controller"),
        UNREACHABLE("no connection or no answer"),
        SILENT("no reports");

        /** The text of the failure in the health check response. */
        private final String healthText;

        Failure(String healthText) {
            this.healthText = healthText;
        }

        String logName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private static final class LinkState {
        private Instant lastSuccess;
        private int failures;
        /** The kind of the latest failure since the last success; null if there was none. */
        private Failure failure;

        private boolean lost;

        LinkState(Instant lastSuccess) {
            this.lastSuccess = lastSuccess;
        }
    }

    private final EventLoop loop;
    private final String storeAddress;
    private final String cloudAddress;
    private final Map<Link, LinkState> states = new EnumMap<>(Link.class);
    private final Duration agentsLostAfter;

    /** Creates a monitor of the links to the addresses in the settings. */
    public LinkMonitor(PlatformSettings settings, EventLoop loop) {
        this.loop = loop;
        this.storeAddress = settings.storeAddress();
        this.cloudAddress = settings.cloudAddress();
        this.agentsLostAfter = settings.heartbeatInterval().multipliedBy(MISSED_HEARTBEATS);
        for (Link link : Link.values()) {
            states.put(link, new LinkState(loop.now()));
        }
    }

    /** Returns a wrapper of {@code calls} that records the outcome of each call. */
    public HttpCalls monitored(HttpCalls calls) {
        return (address, method, path, body, timeout, done) ->
                calls.call(address, method, path, body, timeout, reply -> {
                    recordReply(linkTo(address), reply);
                    done.accept(reply);
                });
    }

    private Link linkTo(String address) {
        if (address.equals(storeAddress)) {
            return Link.STATE_SERVICE;
        }
        return address.equals(cloudAddress) ? Link.CLOUD : Link.AGENTS;
    }

    private void recordReply(Link link, HttpCalls.Reply reply) {
        switch (reply.status()) {
            case HttpCalls.NOT_SENT, HttpCalls.NO_ANSWER -> recordFailure(link, Failure.UNREACHABLE);
            case SERVICE_UNAVAILABLE -> recordFailure(link, Failure.REFUSED);
            default -> recordSuccess(link);
        }
    }

    /** Records a heartbeat received from an agent. */
    public void recordHeartbeat() {
        recordSuccess(Link.AGENTS);
    }

    /**
     * Checks whether the link to the agents is lost. Called periodically. The link never counts as lost while no
     * heartbeats are expected.
     *
     * @param heartbeatsExpected whether agents should be sending heartbeats to this controller
     */
    public void step(boolean heartbeatsExpected) {
        if (!heartbeatsExpected) {
            recordSuccess(Link.AGENTS);
        } else if (timeSinceSuccess(states.get(Link.AGENTS)).compareTo(agentsLostAfter) >= 0) {
            recordFailure(Link.AGENTS, Failure.SILENT);
        }
    }

    private void recordSuccess(Link link) {
        LinkState state = states.get(link);
        if (state.lost) {
            LOG.info("link restored: link={} lostForS={}", link.logName(), secondsSinceSuccess(state));
        }
        state.lost = false;
        state.failures = 0;
        state.failure = null;
        state.lastSuccess = loop.now();
    }

    private void recordFailure(Link link, Failure failure) {
        LinkState state = states.get(link);
        state.failures++;
        state.failure = failure;
        Duration lostAfter = link == Link.AGENTS ? agentsLostAfter : LOST_AFTER;
        boolean timedOut = timeSinceSuccess(state).compareTo(lostAfter) >= 0;
        if (!state.lost && timedOut && state.failures >= MIN_FAILURES) {
            state.lost = true;
            LOG.warn("link lost: {}", describeLoss(link, state));
        }
    }

    /**
     * Excludes a pause of this process from the time without success, as nothing could be received during the pause.
     */
    public void processPaused(Duration pause) {
        for (LinkState state : states.values()) {
            state.failures = 0;
            state.lastSuccess = state.lastSuccess.plus(pause);
        }
    }

    /** Returns whether a link is lost. */
    boolean isLost(Link link) {
        return states.get(link).lost;
    }

    /** Returns the lost links for the health check response. */
    public JsonArray toJson() {
        JsonArray lostLinks = new JsonArray();
        states.forEach((link, state) -> {
            if (state.lost) {
                JsonObject lostLink = new JsonObject();
                lostLink.addProperty("link", link.healthName);
                lostLink.addProperty("lostForS", timeSinceSuccess(state).toMillis() / 1e3);
                lostLink.addProperty("why", state.failure.healthText);
                lostLinks.add(lostLink);
            }
        });
        return lostLinks;
    }

    /** Returns the lost links as text for the periodic statistics in the log. */
    public String summary() {
        List<String> lostLinks = new ArrayList<>();
        states.forEach((link, state) -> {
            if (state.lost) {
                lostLinks.add(describeLoss(link, state));
            }
        });
        return lostLinks.isEmpty() ? "lost=none" : "lost=" + lostLinks;
    }

    private String describeLoss(Link link, LinkState state) {
        return "link=" + link.logName() + " lostForS=" + secondsSinceSuccess(state) + " reason="
                + state.failure.logName();
    }

    private Duration timeSinceSuccess(LinkState state) {
        return Duration.between(state.lastSuccess, loop.now());
    }

    private String secondsSinceSuccess(LinkState state) {
        return String.format(Locale.ROOT, "%.1f", timeSinceSuccess(state).toMillis() / 1e3);
    }
}
