package org.havenford.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Queues of calls that wait to be sent, one of limited length for each priority. */
final class PendingCallQueues {
    private static final int MAX_QUEUED = 400;

    private final List<ArrayDeque<StoreCall>> queues = new ArrayList<>();

    PendingCallQueues() {
        for (int i = 0; i < CallPriority.values().length; i++) {
            queues.add(new ArrayDeque<>());
        }
    }

    /** Adds a call at the end of its queue; returns whether the queue had room. */
    boolean offer(StoreCall call) {
        ArrayDeque<StoreCall> queue = queue(call.priority());
        if (queue.size() >= MAX_QUEUED) {
            return false;
        }
        queue.add(call);
        return true;
    }

    /** Returns a refused call to the head of its queue, even if the queue is full. */
    void returnToFront(StoreCall call) {
        queue(call.priority()).addFirst(call);
    }

    /** Returns the first call of a priority, or null. */
    StoreCall peek(CallPriority priority) {
        return queue(priority).peek();
    }

    /** Removes the first call of a priority. */
    void removeFirst(CallPriority priority) {
        queue(priority).poll();
    }

    /** Returns the number of queued calls of a priority. */
    int size(CallPriority priority) {
        return queue(priority).size();
    }

    private ArrayDeque<StoreCall> queue(CallPriority priority) {
        return queues.get(priority.ordinal());
    }
}
