package org.havenford.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Calls that wait for their turn, in one queue of limited length for each priority. */
final class PendingCallQueues {
    private static final int MAX_QUEUED = 400;

    private final List<ArrayDeque<StoreCall>> queues = new ArrayList<>();

    PendingCallQueues() {
        for (int i = 0; i < CallPriority.values().length; i++) {
            queues.add(new ArrayDeque<>());
        }
    }

    /** Adds a call at the end of its queue; returns false if the queue is full. */
    boolean offer(StoreCall call) {
        ArrayDeque<StoreCall> queue = queue(call.priority());
        if (queue.size() >= MAX_QUEUED) {
            return false;
        }
        queue.add(call);
        return true;
    }

    /** Puts a call that was refused back before all others of its priority, however many wait. */
    void returnToFront(StoreCall call) {
        queue(call.priority()).addFirst(call);
    }

    /** The first call of a priority, or null. */
    StoreCall peek(CallPriority priority) {
        return queue(priority).peek();
    }

    /** Removes the first call of a priority. */
    void removeFirst(CallPriority priority) {
        queue(priority).poll();
    }

    /** Number of calls of a priority that wait. */
    int size(CallPriority priority) {
        return queue(priority).size();
    }

    private ArrayDeque<StoreCall> queue(CallPriority priority) {
        return queues.get(priority.ordinal());
    }
}
