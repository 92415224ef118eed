package org.havenford.storage;

import java.time.Duration;
import java.time.Instant;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;

/** Sends calls in the order of their priorities as the request budget permits, and resends calls that were refused. */
final class StoreCallDispatcher {
    /** Delay until the queues are checked again while calls wait. */
    private static final Duration DISPATCH_INTERVAL = Duration.ofMillis(20);

    private final EventLoop loop;
    private final HttpCalls calls;
    private final String address;
    private final StoreRequestBudget budget;
    private final StoreStatistics statistics;
    private final PendingCallQueues queues = new PendingCallQueues();
    /**
     * Whether a timed dispatch is pending. Until it runs, new calls are only queued, so that none is sent ahead of a
     * waiting one.
     */
    private boolean dispatchScheduled;

    StoreCallDispatcher(
            EventLoop loop, HttpCalls calls, String address, StoreRequestBudget budget, StoreStatistics statistics) {
        this.loop = loop;
        this.calls = calls;
        this.address = address;
        this.budget = budget;
        this.statistics = statistics;
    }

    /** Returns the number of queued calls of a priority. */
    int queued(CallPriority priority) {
        return queues.size(priority);
    }

    /** Queues a call and sends it as the budget permits. If its queue is full, the call ends as not executed. */
    void submit(StoreCall call) {
        if (!queues.offer(call)) {
            loop.after(Duration.ZERO, () -> call.completeWithoutResponse(StoreOutcome.NOT_EXECUTED));
            return;
        }
        if (!dispatchScheduled) {
            dispatch();
        }
    }

    private void dispatch() {
        dispatchScheduled = false;
        Instant now = loop.now();
        budget.adjust(now);
        boolean higherPriorityWaits = false;
        boolean anyQueued = false;
        for (CallPriority priority : CallPriority.values()) {
            if (!dispatchAll(priority, higherPriorityWaits, now)) {
                anyQueued = true;
                higherPriorityWaits |= priority != CallPriority.LEASE && priority != CallPriority.WATCH;
            }
        }
        if (anyQueued) {
            scheduleDispatch();
        }
    }

    /** Sends the queued calls of one priority; returns false if one has to wait for the budget. */
    private boolean dispatchAll(CallPriority priority, boolean higherPriorityWaits, Instant now) {
        StoreCall call = queues.peek(priority);
        while (call != null) {
            if (now.isAfter(call.deadline())) {
                queues.removeFirst(priority);
                statistics.countExpired();
                call.completeWithoutResponse(StoreOutcome.NOT_EXECUTED);
            } else if (budget.permits(priority, call.request().operationCount(), higherPriorityWaits, now)) {
                queues.removeFirst(priority);
                sendIfCurrent(call);
            } else {
                if (priority != CallPriority.SPARE) {
                    budget.markExhausted();
                }
                return false;
            }
            call = queues.peek(priority);
        }
        return true;
    }

    private void scheduleDispatch() {
        if (!dispatchScheduled) {
            dispatchScheduled = true;
            loop.after(DISPATCH_INTERVAL, this::dispatch);
        }
    }

    private void sendIfCurrent(StoreCall call) {
        if (!call.isCurrent().getAsBoolean()) {
            statistics.countStale();
            call.completeWithoutResponse(StoreOutcome.STALE);
            return;
        }
        budget.take(call.request().operationCount());
        send(call);
    }

    private void send(StoreCall call) {
        statistics.countSent(call);
        StoreCall.Request request = call.request();
        calls.call(
                address,
                request.method(),
                request.path(),
                request.body(),
                request.timeout(),
                reply -> handleReply(call, reply));
    }

    private void handleReply(StoreCall call, HttpCalls.Reply reply) {
        StoreResult result = StoreResponseReader.read(reply, call.request());
        if (reply.status() == StoreResponseReader.TOO_MANY_REQUESTS) {
            // The store did not execute the call: until its deadline it is sent again, ahead of later calls.
            statistics.countRefusal();
            budget.recordRefusal(loop.now());
            if (!loop.now().isAfter(call.deadline())) {
                queues.returnToFront(call);
                scheduleDispatch();
                return;
            }
        }
        budget.resetBackOff();
        if (result.outcome() == StoreOutcome.CONFLICT) {
            statistics.countConflict(result);
        }
        call.callback().accept(result);
    }
}
