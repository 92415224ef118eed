package org.havenford.storage;

import com.google.gson.JsonObject;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.havenford.protocol.Json;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls to the state service. Leases and watches go out at once; the rest waits for this controller's share of the
 * service's limits, users before work, and what can wait for good only while nothing else does. A call that has waited
 * too long fails as not executed. The share starts even and follows what the service takes: it grows slowly while it is
 * used up, and shrinks when the service refuses a call.
 */
public final class StoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_QUEUED = 400;
    /** How long a call waits for its turn; users ask again sooner than other work. */
    private static final Duration PATIENCE = Duration.ofSeconds(5);

    private static final Duration USER_PATIENCE = Duration.ofMillis(1500);
    /** Part of the service's limits that the controllers use together when each keeps to its even share. */
    private static final double SAFETY = 0.92;

    private static final Duration ADJUST_EVERY = Duration.ofSeconds(1);
    private static final int MOST_BACK_OFF = 10;
    /** Part of an even share that is used however often the service refuses. */
    private static final double LEAST_SHARE = 0.7;
    /** How soon waiting calls are looked at again. */
    private static final Duration RETRY = Duration.ofMillis(20);

    private static final Duration QUIET = Duration.ofSeconds(2);

    private record PendingCall(
            CallPriority urgency,
            Instant until,
            String method,
            String path,
            String body,
            int writes,
            Duration timeout,
            BooleanSupplier current,
            Consumer<StoreResult> done) {}

    private final EventLoop loop;
    private final HttpCalls calls;
    private final String address;
    private final TokenBucket requests;
    private final TokenBucket changes;
    private final double rps;
    private final double writeRps;
    private final double leastShare;
    private final List<ArrayDeque<PendingCall>> queues = new ArrayList<>();
    private final long[] sent = new long[CallPriority.values().length];
    /** Null where nobody follows this controller. */
    private CommitObserver commitObserver;

    private boolean pumping;
    private int sharers;
    /** Our share of the limits, in even shares. */
    private double shares = 1;

    private boolean usedUp;
    private Instant lastRefusal = Instant.MIN;
    private Instant adjusted;
    private long changed;
    private long conflicts;
    private final TreeMap<String, Integer> conflictsOf = new TreeMap<>();
    private long refused;
    private long givenUp;
    private long stale;
    private int refusedInARow;
    private Instant holdOff = Instant.MIN;
    private Instant leaseHoldOff = Instant.MIN;

    /** {@code nextWriteRps} is what the service's limit of changes may become without notice. */
    public StoreClient(
            EventLoop loop,
            HttpCalls calls,
            String address,
            double rps,
            double writeRps,
            double nextWriteRps,
            int sharers) {
        this.leastShare = LEAST_SHARE * nextWriteRps / writeRps;
        this.loop = loop;
        this.calls = calls;
        this.address = address;
        this.rps = rps;
        this.writeRps = writeRps;
        this.requests = new TokenBucket(rps, 0.5, loop.now());
        this.changes = new TokenBucket(writeRps, 0.8, loop.now());
        this.adjusted = loop.now();
        divideBudgetAmong(sharers);
        for (int i = 0; i < CallPriority.values().length; i++) {
            queues.add(new ArrayDeque<>());
        }
    }

    /** Has each change told to an observer. */
    public void observeCommits(CommitObserver observer) {
        commitObserver = observer;
    }

    /** Divides the service's limits among the controllers that are alive. */
    public void divideBudgetAmong(int among) {
        sharers = Math.max(1, among);
        shares = Math.min(shares, sharers);
        applyShare();
    }

    private void applyShare() {
        requests.rate(rps * SAFETY * shares / sharers);
        changes.rate(writeRps * SAFETY * shares / sharers);
    }

    /** A refused call was not executed, so trying for more than the even share costs no more than that call. */
    private void adjust(Instant now) {
        Duration since = Duration.between(adjusted, now);
        if (since.compareTo(ADJUST_EVERY) < 0) {
            return;
        }
        adjusted = now;
        boolean quiet = now.isAfter(lastRefusal.plus(QUIET));
        double before = shares;
        if (usedUp && quiet) {
            shares = Math.min(Math.max(1, sharers * 0.9), shares * 1.15);
        } else if (!usedUp) {
            shares = shares < 1 ? Math.min(1, shares * 1.03) : Math.max(1, shares * 0.97);
        }
        usedUp = false;
        if (shares != before) {
            applyShare();
        }
    }

    private void wasRefused() {
        Instant now = loop.now();
        refused++;
        refusedInARow++;
        holdOff = now.plusMillis(100L * Math.min(MOST_BACK_OFF, refusedInARow));
        leaseHoldOff = now.plusMillis(60);
        if (now.isAfter(lastRefusal.plus(ADJUST_EVERY))) {
            shares = Math.max(leastShare, shares * 0.75);
            applyShare();
        }
        lastRefusal = now;
    }

    /** Requests and changes of one controller that leave the others theirs, a second. */
    public double evenShareOfRequests() {
        return rps * SAFETY / sharers;
    }

    /** Whether work waits for the service's limits. */
    public boolean underPressure() {
        return queued(CallPriority.WORK) > 2 || queued(CallPriority.CLAIM) > 2 || !changes.has(2, loop.now());
    }

    /** What was asked since the last call, for the log. */
    public String statistics() {
        StringBuilder text = new StringBuilder("requests");
        for (CallPriority u : CallPriority.values()) {
            text.append(' ')
                    .append(u.name().toLowerCase(java.util.Locale.ROOT))
                    .append(' ')
                    .append(sent[u.ordinal()]);
            sent[u.ordinal()] = 0;
        }
        text.append(", changes ")
                .append(changed)
                .append(", conflicts ")
                .append(conflicts)
                .append(' ')
                .append(conflictsOf)
                .append(", refused ")
                .append(refused)
                .append(", given up ")
                .append(givenUp)
                .append(", stale ")
                .append(stale)
                .append(", waiting ")
                .append(queued(CallPriority.WORK) + queued(CallPriority.CLAIM))
                .append(String.format(java.util.Locale.ROOT, ", share %.2f", shares));
        changed = 0;
        conflicts = 0;
        conflictsOf.clear();
        refused = 0;
        givenUp = 0;
        stale = 0;
        return text.toString();
    }

    /** Calls of a class that wait for this controller's share of the limits. */
    public int queued(CallPriority urgency) {
        return queues.get(urgency.ordinal()).size();
    }

    /** Reads a key. */
    public void get(String key, CallPriority urgency, Consumer<StoreResult> done) {
        submit(urgency, "GET", "/store/" + key, null, 0, TIMEOUT, done);
    }

    /** Reads a page of keys with a prefix, beginning after the given key, or at the first if null. */
    public void list(String prefix, String after, Consumer<StoreResult> done) {
        submit(
                CallPriority.WATCH,
                "GET",
                "/store?prefix=" + prefix + (after == null ? "" : "&since=" + after) + "&limit=500",
                null,
                0,
                Duration.ofSeconds(4),
                done);
    }

    /** Commits a transaction. */
    public void commit(Transaction transaction, CallPriority urgency, Consumer<StoreResult> done) {
        commit(transaction, urgency, StoreClient::alwaysCurrent, done);
    }

    /**
     * Commits a transaction that may have to wait for its turn. If {@code current} then says that its guards are known to
     * fail, it is not sent and its outcome is {@code STALE}: a conflict would cost as many changes as a success.
     */
    public void commit(
            Transaction transaction, CallPriority urgency, BooleanSupplier current, Consumer<StoreResult> done) {
        Instant until = loop.now().plus(patience(urgency));
        Consumer<StoreResult> told =
                commitObserver == null || transaction.operationCount() == 0 ? done : observed(transaction, done);
        submit(new PendingCall(
                urgency,
                until,
                "POST",
                "/multi",
                transaction.text(),
                transaction.operationCount(),
                TIMEOUT,
                current,
                told));
    }

    private Consumer<StoreResult> observed(Transaction transaction, Consumer<StoreResult> done) {
        CommitObserver observer = commitObserver;
        long number = observer.committing(transaction.keys());
        return result -> {
            observer.finished(number, result.outcome(), result.ok() ? result.revision() : 0);
            done.accept(result);
        };
    }

    /** Waits for changes of keys with a prefix after an edition. */
    public void watch(String prefix, long since, Duration block, Consumer<StoreResult> done) {
        submit(
                CallPriority.WATCH,
                "GET",
                "/changes?prefix=" + prefix + "&since=" + since + "&blockMs=" + block.toMillis(),
                null,
                0,
                block.plusSeconds(3),
                done);
    }

    /** Creates a lease. */
    public void createLease(Duration life, Consumer<StoreResult> done) {
        submit(CallPriority.LEASE, "POST", "/holds", "{\"lifeMs\":" + life.toMillis() + "}", 0, TIMEOUT, done);
    }

    /** Renews a lease. */
    public void renewLease(long permit, Consumer<StoreResult> done) {
        submit(CallPriority.LEASE, "POST", "/holds/" + permit + "/touch", null, 0, TIMEOUT, done);
    }

    /** Ends a lease at once. */
    public void endLease(long permit, Consumer<StoreResult> done) {
        submit(CallPriority.LEASE, "DELETE", "/holds/" + permit, null, 0, TIMEOUT, done);
    }

    private void submit(
            CallPriority urgency,
            String method,
            String path,
            String body,
            int writes,
            Duration timeout,
            Consumer<StoreResult> done) {
        Instant until = loop.now().plus(patience(urgency));
        submit(new PendingCall(urgency, until, method, path, body, writes, timeout, StoreClient::alwaysCurrent, done));
    }

    private static Duration patience(CallPriority urgency) {
        return urgency == CallPriority.USER ? USER_PATIENCE : PATIENCE;
    }

    private void submit(PendingCall call) {
        ArrayDeque<PendingCall> queue = queues.get(call.urgency.ordinal());
        if (queue.size() >= MAX_QUEUED) {
            loop.after(Duration.ZERO, () -> call.done.accept(new StoreResult(StoreOutcome.NOT_EXECUTED, null)));
            return;
        }
        queue.add(call);
        if (!pumping) {
            pump();
        }
    }

    private void pump() {
        pumping = false;
        Instant now = loop.now();
        adjust(now);
        boolean waits = false;
        boolean later = false;
        for (CallPriority u : CallPriority.values()) {
            ArrayDeque<PendingCall> queue = queues.get(u.ordinal());
            while (!queue.isEmpty()) {
                PendingCall p = queue.peek();
                if (now.isAfter(p.until)) {
                    queue.poll();
                    givenUp++;
                    p.done.accept(new StoreResult(StoreOutcome.NOT_EXECUTED, null));
                    continue;
                }
                if (!may(p, now, waits)) {
                    waits |= u != CallPriority.LEASE && u != CallPriority.WATCH;
                    later = true;
                    usedUp |= u != CallPriority.SPARE;
                    break;
                }
                queue.poll();
                if (!p.current.getAsBoolean()) {
                    stale++;
                    p.done.accept(new StoreResult(StoreOutcome.STALE, null));
                    continue;
                }
                requests.take(1);
                changes.take(p.writes);
                send(p);
            }
        }
        if (later && !pumping) {
            pumping = true;
            loop.after(RETRY, this::pump);
        }
    }

    /**
     * A renewal never waits for the budget: losing the lease costs far more than one refused call. After a refusal it waits
     * a moment all the same, and the rest for longer each time: calls that go again at once use up what limit there is.
     */
    private boolean may(PendingCall p, Instant now, boolean othersWait) {
        if (p.urgency == CallPriority.LEASE) {
            return !now.isBefore(leaseHoldOff);
        }
        if (p.urgency == CallPriority.WATCH) {
            return !now.isBefore(holdOff);
        }
        if (othersWait || now.isBefore(holdOff)) {
            return false;
        }
        // Accepting a job must not wait for a bucket that work has just emptied.
        double left =
                switch (p.urgency) {
                    case USER -> 0;
                    case CLAIM -> 0.15;
                    case WORK -> 0.3;
                    default -> 0.5;
                };
        return requests.has(1 + requests.size() * left, now)
                && (p.writes == 0 || changes.has(p.writes + changes.size() * left, now));
    }

    private void send(PendingCall p) {
        sent[p.urgency.ordinal()]++;
        changed += p.writes;
        calls.call(address, p.method, p.path, p.body, p.timeout, reply -> {
            StoreResult result = interpret(reply, p);
            if (reply.status() == 429) {
                // Not executed: it goes again while its time lasts, before anything that came after it.
                wasRefused();
                if (!loop.now().isAfter(p.until)) {
                    queues.get(p.urgency.ordinal()).addFirst(p);
                    if (!pumping) {
                        pumping = true;
                        loop.after(RETRY, this::pump);
                    }
                    return;
                }
            }
            refusedInARow = 0;
            if (result.outcome() == StoreOutcome.CONFLICT) {
                countConflict(result);
            }
            p.done.accept(result);
        });
    }

    /** By the kind of the keys that had changed, which is what a remedy starts from. */
    private void countConflict(StoreResult result) {
        conflicts++;
        try {
            for (String key : Json.texts(result.body(), "failed")) {
                int first = key.indexOf('/');
                int second = key.indexOf('/', first + 1);
                conflictsOf.merge(
                        second > 0 ? key.substring(first + 1, second) : key.substring(first + 1), 1, Integer::sum);
            }
        } catch (Json.BadMessage e) {
            LOG.warn("state service: a conflict does not name its keys: {}", e.getMessage());
        }
    }

    private StoreResult interpret(HttpCalls.Reply reply, PendingCall p) {
        JsonObject body = null;
        if (!reply.body().isEmpty()) {
            try {
                body = Json.object(reply.body());
            } catch (Json.BadMessage e) {
                LOG.warn(
                        "state service: {} {} answered {} with a body that is {}",
                        p.method,
                        p.path,
                        reply.status(),
                        e.getMessage());
                return new StoreResult(StoreOutcome.UNKNOWN, null);
            }
        }
        return switch (reply.status()) {
            case 200 -> new StoreResult(StoreOutcome.OK, body);
            case 404 -> new StoreResult(StoreOutcome.ABSENT, body);
            case 409 -> new StoreResult(StoreOutcome.CONFLICT, body);
            case 429 -> new StoreResult(StoreOutcome.NOT_EXECUTED, body);
            case 503, HttpCalls.NOT_SENT -> new StoreResult(StoreOutcome.NOT_EXECUTED, body);
            case 400 -> {
                LOG.error(
                        "state service: {} {} of {} bytes, {} changes, answered {}",
                        p.method,
                        p.path,
                        p.body == null ? 0 : p.body.length(),
                        p.writes,
                        reply.body());
                yield new StoreResult(StoreOutcome.REJECTED, body);
            }
            case 410 -> {
                LOG.warn("state service: {} {} answered {} {}", p.method, p.path, reply.status(), reply.body());
                yield new StoreResult(StoreOutcome.REJECTED, body);
            }
            default -> new StoreResult(StoreOutcome.UNKNOWN, body);
        };
    }

    private static boolean alwaysCurrent() {
        return true;
    }
}
