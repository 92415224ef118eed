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
 * Watches which of the parties that this controller depends on it still reaches, so that its log and {@code /healthz} can
 * name the link that is lost, and since when. Nothing is decided on it.
 */
public final class LinkMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(LinkMonitor.class);
    /** A link is lost when nothing came over it for this long although it was tried. */
    private static final Duration LOST_AFTER = Duration.ofSeconds(3);

    private static final int LEAST_FAILURES = 2;
    /** Times between two reports without any report from which on the workers are out of reach. */
    private static final int REPORTS_MISSED = 3;

    private static final int UNAVAILABLE = 503;

    /** A party that this controller depends on. */
    enum Link {
        STATE_SERVICE("the state service"),
        CLOUD("the cloud"),
        WORKERS("the workers");

        private final String text;

        Link(String text) {
            this.text = text;
        }
    }

    /** Why a link does not serve. */
    enum Failure {
        REFUSED("it refuses this controller"),
        UNREACHABLE("no connection or no answer"),
        SILENT("no reports");

        private final String text;

        Failure(String text) {
            this.text = text;
        }
    }

    private static final class State {
        private Instant lastGood;
        private int failures;
        private Failure failure;
        private boolean lost;
    }

    private final EventLoop loop;
    private final String stateAddress;
    private final String cloudAddress;
    private final Map<Link, State> states = new EnumMap<>(Link.class);
    private final Duration workersLostAfter;

    /** A monitor of the links to the addresses in the settings. */
    public LinkMonitor(PlatformSettings settings, EventLoop loop) {
        this.loop = loop;
        this.stateAddress = settings.stateAddress();
        this.cloudAddress = settings.cloudAddress();
        this.workersLostAfter = settings.heartbeatInterval().multipliedBy(REPORTS_MISSED);
        for (Link link : Link.values()) {
            State state = new State();
            state.lastGood = loop.now();
            states.put(link, state);
        }
    }

    /** The same calls, with their outcomes noted here. */
    public HttpCalls watching(HttpCalls calls) {
        return (address, method, path, body, timeout, done) ->
                calls.call(address, method, path, body, timeout, reply -> {
                    replied(linkTo(address), reply);
                    done.accept(reply);
                });
    }

    private Link linkTo(String address) {
        if (address.equals(stateAddress)) {
            return Link.STATE_SERVICE;
        }
        return address.equals(cloudAddress) ? Link.CLOUD : Link.WORKERS;
    }

    private void replied(Link link, HttpCalls.Reply reply) {
        switch (reply.status()) {
            case HttpCalls.NOT_SENT, HttpCalls.NO_ANSWER -> fails(link, Failure.UNREACHABLE);
            case UNAVAILABLE -> fails(link, Failure.REFUSED);
            default -> works(link);
        }
    }

    /** A worker has reported. */
    public void heartbeatArrived() {
        works(Link.WORKERS);
    }

    /** Time has passed; {@code reportsExpected} says whether workers should have reported by now. */
    public void step(boolean reportsExpected) {
        if (reportsExpected) {
            if (sinceGood(states.get(Link.WORKERS)).compareTo(workersLostAfter) >= 0) {
                fails(Link.WORKERS, Failure.SILENT);
            }
        } else {
            works(Link.WORKERS);
        }
    }

    private void works(Link link) {
        State state = states.get(link);
        if (state.lost) {
            LOG.info("{} can be reached again after {} s", link.text, seconds(state));
        }
        state.lost = false;
        state.failures = 0;
        state.failure = null;
        state.lastGood = loop.now();
    }

    private void fails(Link link, Failure failure) {
        State state = states.get(link);
        state.failures++;
        state.failure = failure;
        Duration patience = link == Link.WORKERS ? workersLostAfter : LOST_AFTER;
        boolean longEnough = sinceGood(state).compareTo(patience) >= 0;
        if (!state.lost && longEnough && state.failures >= LEAST_FAILURES) {
            state.lost = true;
            LOG.warn("{} can't be reached since {} s: {}", link.text, seconds(state), failure.text);
        }
    }

    /** The process stood still: that it heard nobody meanwhile says nothing of its links. */
    public void processPaused(Duration pause) {
        for (State state : states.values()) {
            state.failures = 0;
            state.lastGood = state.lastGood.plus(pause);
        }
    }

    /** Whether a link is lost. */
    boolean isLost(Link link) {
        return states.get(link).lost;
    }

    /** The lost links for operators, as part of the answer to a health check. */
    public JsonArray toJson() {
        JsonArray lost = new JsonArray();
        states.forEach((link, state) -> {
            if (state.lost) {
                JsonObject one = new JsonObject();
                one.addProperty("link", link.name().toLowerCase(Locale.ROOT));
                one.addProperty("lostForS", sinceGood(state).toMillis() / 1e3);
                one.addProperty("why", state.failure.text);
                lost.add(one);
            }
        });
        return lost;
    }

    /** The links for the log's line of each minute. */
    public String summary() {
        List<String> lost = new ArrayList<>();
        states.forEach((link, state) -> {
            if (state.lost) {
                lost.add(link.text + " can't be reached since " + seconds(state) + " s: " + state.failure.text);
            }
        });
        return lost.isEmpty() ? "all reached" : String.join(", ", lost);
    }

    private Duration sinceGood(State state) {
        return Duration.between(state.lastGood, loop.now());
    }

    private String seconds(State state) {
        return String.format(Locale.ROOT, "%.1f", sinceGood(state).toMillis() / 1e3);
    }
}
