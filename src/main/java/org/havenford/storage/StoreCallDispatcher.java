package org.havenford.storage;

import java.time.Duration;
import java.time.Instant;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;

/** Sends calls in the order of their priorities as soon as the budget permits, and again after a refusal. */
final class StoreCallDispatcher {
    /** How soon waiting calls are looked at again. */
    private static final Duration DISPATCH_INTERVAL = Duration.ofMillis(20);

    private final EventLoop loop;
    private final HttpCalls calls;
    private final String address;
    private final StoreRequestBudget budget;
    private final StoreStatistics statistics;
    private final PendingCallQueues queues = new PendingCallQueues();
    /** Whether calls wait for the timer; no other call may go before it then. */
    private boolean dispatchScheduled;

    StoreCallDispatcher(
            EventLoop loop, HttpCalls calls, String address, StoreRequestBudget budget, StoreStatistics statistics) {
        this.loop = loop;
        this.calls = calls;
        this.address = address;
        this.budget = budget;
        this.statistics = statistics;
    }

    /** Number of calls of a priority that wait. */
    int queued(CallPriority priority) {
        return queues.size(priority);
    }

    /** Sends the call when its turn comes; it is not executed if too many wait already. */
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
        boolean othersWait = false;
        boolean anyWaits = false;
        for (CallPriority priority : CallPriority.values()) {
            if (!dispatchAll(priority, othersWait, now)) {
                anyWaits = true;
                othersWait |= priority != CallPriority.LEASE && priority != CallPriority.WATCH;
            }
        }
        if (anyWaits) {
            scheduleDispatch();
        }
    }

    /** Sends the calls of one priority; false if one has to wait for the budget. */
    private boolean dispatchAll(CallPriority priority, boolean othersWait, Instant now) {
        StoreCall call = queues.peek(priority);
        while (call != null) {
            if (now.isAfter(call.deadline())) {
                queues.removeFirst(priority);
                statistics.countExpired();
                call.completeWithoutResponse(StoreOutcome.NOT_EXECUTED);
            } else if (budget.permits(priority, call.request().operationCount(), othersWait, now)) {
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
                reply -> receive(call, reply));
    }

    private void receive(StoreCall call, HttpCalls.Reply reply) {
        StoreResult result = StoreResponseReader.read(reply, call.request());
        if (reply.status() == StoreResponseReader.TOO_MANY_REQUESTS) {
            // Not executed: it goes again while its time lasts, before anything that came after it.
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
