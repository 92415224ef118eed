package org.havenford.storage;

import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.havenford.storage.StoreCall.ResponseBody;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;

/**
 * Client of the consensus-backed key-value store. Calls of the priorities LEASE and WATCH do not wait for this
 * controller's share of the store's limits; other calls do, and are sent in the order of their priorities. A call that
 * has been queued for too long ends as not executed. Every callback receives exactly one result, on the event loop.
 */
public final class StoreClient {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration PAGE_TIMEOUT = Duration.ofSeconds(4);
    /** Time to wait for the response of a watch beyond the time for which the store holds it open. */
    private static final Duration WATCH_RESPONSE_MARGIN = Duration.ofSeconds(3);
    /**
     * Longest time that a call is queued. It is shorter for user requests, since users retry sooner.
     */
    private static final Duration QUEUE_TIMEOUT = Duration.ofSeconds(5);

    private static final Duration USER_QUEUE_TIMEOUT = Duration.ofMillis(1500);
    /** Number of queued calls of one priority above which the client is under pressure. */
    private static final int MAX_QUEUED_WITHOUT_PRESSURE = 2;
    /** Number of operations that must be possible at once for the client not to be under pressure. */
    private static final int SMALL_TRANSACTION_OPERATIONS = 2;

    private final EventLoop loop;
    private final StoreRequestBudget budget;
    private final StoreStatistics statistics = new StoreStatistics();
    private final StoreCallDispatcher dispatcher;
    /** Observer of commits; null if none was set. */
    private CommitObserver commitObserver;

    /** Creates a client that starts with an even share of the limits among {@code controllers}. */
    public StoreClient(EventLoop loop, HttpCalls calls, String address, StoreLimits limits, int controllers) {
        this.loop = loop;
        this.budget = new StoreRequestBudget(limits, controllers, loop.now());
        this.dispatcher = new StoreCallDispatcher(loop, calls, address, budget, statistics);
    }

    /** Sets the observer of the transactions that change keys, in place of the one before. */
    public void observeCommits(CommitObserver observer) {
        commitObserver = observer;
    }

    /** Divides the store's limits among the controllers that are alive. */
    public void divideBudgetAmong(int aliveControllers) {
        budget.divideAmong(aliveControllers);
    }

    /** Returns the requests per second of one controller if all controllers use an even share. */
    public double evenShareOfRequests() {
        return budget.evenShareOfRequests();
    }

    /** Returns whether the store's limits delay claims or other writes, so that callers should batch them. */
    public boolean underPressure() {
        return queued(CallPriority.WORK) > MAX_QUEUED_WITHOUT_PRESSURE
                || queued(CallPriority.CLAIM) > MAX_QUEUED_WITHOUT_PRESSURE
                || budget.lacksWrites(SMALL_TRANSACTION_OPERATIONS, loop.now());
    }

    /** Returns counts of the calls since the last summary as {@code key=value} pairs for the log, and resets them. */
    public String takeSummary() {
        return statistics.takeSummary(queued(CallPriority.WORK) + queued(CallPriority.CLAIM), budget.share());
    }

    /** Returns the number of calls of a priority that wait for this controller's share of the limits. */
    public int queued(CallPriority priority) {
        return dispatcher.queued(priority);
    }

    /** Reads a key. */
    public void get(String key, CallPriority priority, Consumer<StoreResult> callback) {
        submit(priority, readRequest(StoreWireCodec.keyPath(key), RESPONSE_TIMEOUT), callback);
    }

    /** Reads a page of the keys with a prefix, starting after the key {@code after}, or at the first if it is null. */
    public void list(String prefix, String after, Consumer<StoreResult> callback) {
        submit(CallPriority.WATCH, readRequest(StoreWireCodec.pagePath(prefix, after), PAGE_TIMEOUT), callback);
    }

    /** Waits for changes of keys with a prefix after a revision, for {@code timeout} at most. */
    public void watch(String prefix, long revision, Duration timeout, Consumer<StoreResult> callback) {
        String path = StoreWireCodec.watchPath(prefix, revision, timeout);
        submit(CallPriority.WATCH, readRequest(path, timeout.plus(WATCH_RESPONSE_MARGIN)), callback);
    }

    /** Commits a transaction. */
    public void commit(Transaction transaction, CallPriority priority, Consumer<StoreResult> callback) {
        commit(transaction, priority, StoreClient::alwaysCurrent, callback);
    }

    /**
     * Commits a transaction, unless {@code isCurrent} returns false when it is due to be sent because its conditions
     * are known to fail. The outcome is then {@code STALE}. A conflict would count as many writes towards the store's
     * limits as a success.
     */
    public void commit(
            Transaction transaction, CallPriority priority, BooleanSupplier isCurrent, Consumer<StoreResult> callback) {
        Instant deadline = deadline(priority);
        Consumer<StoreResult> observedCallback = commitObserver == null || transaction.operationCount() == 0
                ? callback
                : withObserver(transaction, callback);
        StoreCall.Request request = new StoreCall.Request(
                "POST",
                StoreWireCodec.TRANSACTIONS_PATH,
                StoreWireCodec.transactionBody(transaction),
                transaction.operationCount(),
                RESPONSE_TIMEOUT,
                ResponseBody.REQUIRED);
        dispatcher.submit(new StoreCall(priority, request, deadline, isCurrent, observedCallback));
    }

    private Consumer<StoreResult> withObserver(Transaction transaction, Consumer<StoreResult> callback) {
        CommitObserver observer = commitObserver;
        long number = observer.commitStarted(transaction.changedKeys());
        return result -> {
            observer.commitFinished(number, result.outcome(), result.ok() ? result.revision() : 0);
            callback.accept(result);
        };
    }

    /** Creates a lease that expires unless it is renewed within {@code duration}. */
    public void createLease(Duration duration, Consumer<StoreResult> callback) {
        String body = StoreWireCodec.leaseRequestBody(duration);
        submitLeaseCall("POST", StoreWireCodec.LEASES_PATH, body, ResponseBody.REQUIRED, callback);
    }

    /** Renews a lease. */
    public void renewLease(long leaseId, Consumer<StoreResult> callback) {
        submitLeaseCall("POST", StoreWireCodec.renewalPath(leaseId), null, ResponseBody.OPTIONAL, callback);
    }

    /** Ends a lease at once. */
    public void endLease(long leaseId, Consumer<StoreResult> callback) {
        submitLeaseCall("DELETE", StoreWireCodec.leasePath(leaseId), null, ResponseBody.OPTIONAL, callback);
    }

    private void submitLeaseCall(
            String method, String path, String body, ResponseBody responseBody, Consumer<StoreResult> callback) {
        StoreCall.Request request = new StoreCall.Request(method, path, body, 0, RESPONSE_TIMEOUT, responseBody);
        submit(CallPriority.LEASE, request, callback);
    }

    private static StoreCall.Request readRequest(String path, Duration timeout) {
        return new StoreCall.Request("GET", path, null, 0, timeout, ResponseBody.REQUIRED);
    }

    private void submit(CallPriority priority, StoreCall.Request request, Consumer<StoreResult> callback) {
        dispatcher.submit(new StoreCall(priority, request, deadline(priority), StoreClient::alwaysCurrent, callback));
    }

    private Instant deadline(CallPriority priority) {
        return loop.now().plus(priority == CallPriority.USER ? USER_QUEUE_TIMEOUT : QUEUE_TIMEOUT);
    }

    private static boolean alwaysCurrent() {
        return true;
    }
}
