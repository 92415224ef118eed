package org.havenford.storage;

import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;

/**
 * Calls to the consensus-backed key-value store. Leases and watches go out at once; the rest waits for this controller's
 * share of the store's limits, users before work, and what can wait for good only while nothing else does. A call that has
 * waited too long fails as not executed. Every callback is told one result, on the event loop.
 */
public final class StoreClient {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration PAGE_TIMEOUT = Duration.ofSeconds(4);
    /** How much longer than the store holds a watch its response is awaited. */
    private static final Duration WATCH_GRACE = Duration.ofSeconds(3);
    /** How long a call waits for its turn; users ask again sooner than other work. */
    private static final Duration PATIENCE = Duration.ofSeconds(5);

    private static final Duration USER_PATIENCE = Duration.ofMillis(1500);
    /** More queued calls of a priority than this are work that waits for the store's limits. */
    private static final int MAX_QUEUED_WITHOUT_PRESSURE = 2;
    /** Operations of a small transaction. */
    private static final int SMALL_TRANSACTION = 2;

    private final EventLoop loop;
    private final StoreRequestBudget budget;
    private final StoreStatistics statistics = new StoreStatistics();
    private final StoreCallDispatcher dispatcher;
    /** Null where nobody follows this controller. */
    private CommitObserver commitObserver;

    /** A client that uses an even share of the limits among so many controllers. */
    public StoreClient(EventLoop loop, HttpCalls calls, String address, StoreLimits limits, int controllers) {
        this.loop = loop;
        this.budget = new StoreRequestBudget(limits, controllers, loop.now());
        this.dispatcher = new StoreCallDispatcher(loop, calls, address, budget, statistics);
    }

    /** Has each change told to an observer. */
    public void observeCommits(CommitObserver observer) {
        commitObserver = observer;
    }

    /** Divides the store's limits among the controllers that are alive. */
    public void divideBudgetAmong(int aliveControllers) {
        budget.divideAmong(aliveControllers);
    }

    /** Requests a second of one controller that leave the others theirs. */
    public double evenShareOfRequests() {
        return budget.evenShareOfRequests();
    }

    /** Whether work waits for the store's limits. */
    public boolean underPressure() {
        return queued(CallPriority.WORK) > MAX_QUEUED_WITHOUT_PRESSURE
                || queued(CallPriority.CLAIM) > MAX_QUEUED_WITHOUT_PRESSURE
                || budget.lacksWrites(SMALL_TRANSACTION, loop.now());
    }

    /** What was asked since the last call as {@code key=value} pairs, for the log. */
    public String statistics() {
        return statistics.takeSummary(queued(CallPriority.WORK) + queued(CallPriority.CLAIM), budget.share());
    }

    /** Calls of a priority that wait for this controller's share of the limits. */
    public int queued(CallPriority priority) {
        return dispatcher.queued(priority);
    }

    /** Reads a key. */
    public void get(String key, CallPriority priority, Consumer<StoreResult> callback) {
        submit(priority, read(StoreWireCodec.keyPath(key), RESPONSE_TIMEOUT), callback);
    }

    /** Reads a page of keys with a prefix, beginning after the given key, or at the first if null. */
    public void list(String prefix, String after, Consumer<StoreResult> callback) {
        submit(CallPriority.WATCH, read(StoreWireCodec.pagePath(prefix, after), PAGE_TIMEOUT), callback);
    }

    /** Waits for changes of keys with a prefix after a revision, for {@code timeout} at most. */
    public void watch(String prefix, long revision, Duration timeout, Consumer<StoreResult> callback) {
        String path = StoreWireCodec.watchPath(prefix, revision, timeout);
        submit(CallPriority.WATCH, read(path, timeout.plus(WATCH_GRACE)), callback);
    }

    /** Commits a transaction. */
    public void commit(Transaction transaction, CallPriority priority, Consumer<StoreResult> callback) {
        commit(transaction, priority, StoreClient::alwaysCurrent, callback);
    }

    /**
     * Commits a transaction that may have to wait for its turn. If {@code isCurrent} then says that its conditions are known
     * to fail, it is not sent and its outcome is {@code STALE}: a conflict would cost as many changes as a success.
     */
    public void commit(
            Transaction transaction, CallPriority priority, BooleanSupplier isCurrent, Consumer<StoreResult> callback) {
        Instant deadline = deadline(priority);
        Consumer<StoreResult> observedCallback = commitObserver == null || transaction.operationCount() == 0
                ? callback
                : observed(transaction, callback);
        StoreCall.Request request = new StoreCall.Request(
                "POST",
                StoreWireCodec.TRANSACTIONS,
                StoreWireCodec.transaction(transaction),
                transaction.operationCount(),
                RESPONSE_TIMEOUT);
        dispatcher.submit(new StoreCall(priority, request, deadline, isCurrent, observedCallback));
    }

    private Consumer<StoreResult> observed(Transaction transaction, Consumer<StoreResult> callback) {
        CommitObserver observer = commitObserver;
        long number = observer.committing(transaction.changedKeys());
        return result -> {
            observer.finished(number, result.outcome(), result.ok() ? result.revision() : 0);
            callback.accept(result);
        };
    }

    /** Creates a lease that ends unless it is renewed within {@code duration}. */
    public void createLease(Duration duration, Consumer<StoreResult> callback) {
        submitLeaseCall("POST", StoreWireCodec.LEASES, StoreWireCodec.leaseRequest(duration), callback);
    }

    /** Renews a lease. */
    public void renewLease(long leaseId, Consumer<StoreResult> callback) {
        submitLeaseCall("POST", StoreWireCodec.renewalPath(leaseId), null, callback);
    }

    /** Ends a lease at once. */
    public void endLease(long leaseId, Consumer<StoreResult> callback) {
        submitLeaseCall("DELETE", StoreWireCodec.leasePath(leaseId), null, callback);
    }

    private void submitLeaseCall(String method, String path, String body, Consumer<StoreResult> callback) {
        submit(CallPriority.LEASE, new StoreCall.Request(method, path, body, 0, RESPONSE_TIMEOUT), callback);
    }

    private static StoreCall.Request read(String path, Duration timeout) {
        return new StoreCall.Request("GET", path, null, 0, timeout);
    }

    private void submit(CallPriority priority, StoreCall.Request request, Consumer<StoreResult> callback) {
        dispatcher.submit(new StoreCall(priority, request, deadline(priority), StoreClient::alwaysCurrent, callback));
    }

    private Instant deadline(CallPriority priority) {
        return loop.now().plus(priority == CallPriority.USER ? USER_PATIENCE : PATIENCE);
    }

    private static boolean alwaysCurrent() {
        return true;
    }
}
