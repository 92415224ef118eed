package org.havenford.bookkeeping;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.havenford.protocol.Json;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls to the state service. Calls wait in three queues (leases first, users last) for their share of the service's
 * limits; one that has waited too long fails as not executed.
 */
public final class StateStore {
    private static final Logger LOG = LoggerFactory.getLogger(StateStore.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_QUEUED = 400;

    public enum Urgency {
        LEASE, WORK, USER
    }

    /** NOT_EXECUTED can't happen any more; UNKNOWN may have happened or may yet. */
    public enum Outcome {
        OK, CONFLICT, ABSENT, NOT_EXECUTED, UNKNOWN, REJECTED
    }

    public record Result(Outcome outcome, JsonObject body) {
        public boolean ok() {
            return outcome == Outcome.OK;
        }

        public long edition() {
            try {
                return body == null ? 0 : Json.countOr(body, "edition", 0);
            } catch (Json.BadMessage e) {
                return 0;
            }
        }
    }

    /** A guarded transaction. */
    public static final class Txn {
        private final JsonArray guards = new JsonArray();
        private final JsonArray writes = new JsonArray();
        private final List<String> keys = new ArrayList<>();
        private final List<JsonElement> values = new ArrayList<>();

        public Txn guard(String key, long stamp) {
            JsonObject g = new JsonObject();
            g.addProperty("k", key);
            g.addProperty("stamp", stamp);
            guards.add(g);
            return this;
        }

        public Txn set(String key, JsonElement value) {
            return set(key, value, 0);
        }

        public Txn set(String key, JsonElement value, long permit) {
            JsonObject w = new JsonObject();
            w.addProperty("set", key);
            w.add("v", value);
            if (permit != 0) {
                w.addProperty("permit", permit);
            }
            writes.add(w);
            keys.add(key);
            values.add(value);
            return this;
        }

        public Txn delete(String key) {
            JsonObject w = new JsonObject();
            w.addProperty("delete", key);
            writes.add(w);
            keys.add(key);
            values.add(null);
            return this;
        }

        public int writes() {
            return writes.size();
        }

        public int guards() {
            return guards.size();
        }

        public List<String> keys() {
            return keys;
        }

        public List<JsonElement> values() {
            return values;
        }

        String text() {
            JsonObject o = new JsonObject();
            o.add("guards", guards);
            o.add("writes", writes);
            return o.toString();
        }
    }

    private record Pending(Instant until, String method, String path, String body, int writes, Duration timeout,
            Consumer<Result> done) {
    }

    private final EventLoop loop;
    private final HttpCalls calls;
    private final String address;
    private final TokenBucket requests;
    private final TokenBucket changes;
    private final double rps;
    private final double writeRps;
    private final List<ArrayDeque<Pending>> queues = new ArrayList<>();
    private boolean pumping;
    private Instant holdOff = Instant.MIN;
    private Instant lastAnswer = Instant.MIN;

    public StateStore(EventLoop loop, HttpCalls calls, String address, double rps, double writeRps, int sharers) {
        this.loop = loop;
        this.calls = calls;
        this.address = address;
        this.rps = rps;
        this.writeRps = writeRps;
        this.requests = new TokenBucket(rps, 0.5, loop.now());
        this.changes = new TokenBucket(writeRps, 0.8, loop.now());
        share(sharers);
        for (int i = 0; i < Urgency.values().length; i++) {
            queues.add(new ArrayDeque<>());
        }
    }

    /** Divides the service's limits among the controllers that are alive. */
    public void share(int sharers) {
        requests.rate(rps * 0.92 / Math.max(1, sharers));
        changes.rate(writeRps * 0.92 / Math.max(1, sharers));
    }

    /** When the service last answered anything but an error. */
    public Instant lastAnswer() {
        return lastAnswer;
    }

    public int queued(Urgency urgency) {
        return queues.get(urgency.ordinal()).size();
    }

    public void get(String key, Urgency urgency, Consumer<Result> done) {
        submit(urgency, "GET", "/store/" + key, null, 0, TIMEOUT, done);
    }

    public void list(String prefix, String after, Consumer<Result> done) {
        submit(Urgency.WORK, "GET", "/store?prefix=" + prefix + (after == null ? "" : "&since=" + after) + "&limit=500",
                null, 0, Duration.ofSeconds(4), done);
    }

    public void commit(Txn txn, Urgency urgency, Consumer<Result> done) {
        submit(urgency, "POST", "/multi", txn.text(), txn.writes(), TIMEOUT, done);
    }

    public void watch(String prefix, long since, Duration block, Consumer<Result> done) {
        submit(Urgency.WORK, "GET", "/changes?prefix=" + prefix + "&since=" + since + "&blockMs=" + block.toMillis(),
                null, 0, block.plusSeconds(5), done);
    }

    public void createLease(Duration life, Consumer<Result> done) {
        submit(Urgency.LEASE, "POST", "/holds", "{\"lifeMs\":" + life.toMillis() + "}", 0, TIMEOUT, done);
    }

    public void renewLease(long permit, Consumer<Result> done) {
        submit(Urgency.LEASE, "POST", "/holds/" + permit + "/touch", null, 0, TIMEOUT, done);
    }

    private void submit(Urgency urgency, String method, String path, String body, int writes, Duration timeout,
            Consumer<Result> done) {
        ArrayDeque<Pending> queue = queues.get(urgency.ordinal());
        if (queue.size() >= MAX_QUEUED) {
            loop.after(Duration.ZERO, () -> done.accept(new Result(Outcome.NOT_EXECUTED, null)));
            return;
        }
        Duration patience = urgency == Urgency.USER ? Duration.ofMillis(1500) : Duration.ofSeconds(5);
        queue.add(new Pending(loop.now().plus(patience), method, path, body, writes, timeout, done));
        if (!pumping) {
            pump();
        }
    }

    private void pump() {
        pumping = false;
        Instant now = loop.now();
        for (Urgency u : Urgency.values()) {
            ArrayDeque<Pending> queue = queues.get(u.ordinal());
            while (!queue.isEmpty()) {
                Pending p = queue.peek();
                if (now.isAfter(p.until)) {
                    queue.poll();
                    p.done.accept(new Result(Outcome.NOT_EXECUTED, null));
                    continue;
                }
                // A renewal never waits for the budget: losing the lease costs far more than one refused call.
                boolean may = u == Urgency.LEASE || !now.isBefore(holdOff) && requests.has(1, now)
                        && (p.writes == 0 || changes.has(p.writes, now));
                if (!may) {
                    pumping = true;
                    loop.after(Duration.ofMillis(10), this::pump);
                    return;
                }
                queue.poll();
                requests.take(1);
                changes.take(p.writes);
                send(p);
            }
        }
    }

    private void send(Pending p) {
        calls.call(address, p.method, p.path, p.body, p.timeout, reply -> {
            Result result = interpret(reply, p);
            if (result.outcome == Outcome.OK || result.outcome == Outcome.CONFLICT || result.outcome == Outcome.ABSENT) {
                lastAnswer = loop.now();
            }
            p.done.accept(result);
        });
    }

    private Result interpret(HttpCalls.Reply reply, Pending p) {
        JsonObject body = null;
        if (!reply.body().isEmpty()) {
            try {
                body = Json.object(reply.body());
            } catch (Json.BadMessage e) {
                LOG.warn("state service: {} {} answered {} with a body that is {}", p.method, p.path, reply.status(), e.getMessage());
                return new Result(Outcome.UNKNOWN, null);
            }
        }
        switch (reply.status()) {
            case 200:
                return new Result(Outcome.OK, body);
            case 404:
                return new Result(Outcome.ABSENT, body);
            case 409:
                return new Result(Outcome.CONFLICT, body);
            case 429:
                holdOff = loop.now().plusMillis(150);
                return new Result(Outcome.NOT_EXECUTED, body);
            case 503, HttpCalls.NOT_SENT:
                return new Result(Outcome.NOT_EXECUTED, body);
            case 400, 410:
                LOG.warn("state service: {} {} answered {} {}", p.method, p.path, reply.status(), reply.body());
                return new Result(Outcome.REJECTED, body);
            default:
                return new Result(Outcome.UNKNOWN, body);
        }
    }
}
