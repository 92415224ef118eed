package org.havenford.standby;

import java.util.List;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** Numbers the transactions of this controller in the order in which they are sent to the store, and keeps the open ones. */
final class DecisionLog {
    private final TreeMap<Long, List<String>> open = new TreeMap<>();
    private long lastNumber;
    private long lastCounted;

    /** Registers a transaction on these keys that is about to be sent, and returns its number. */
    long begin(List<String> keys) {
        open.put(++lastNumber, keys);
        return lastNumber;
    }

    /** Removes a transaction whose call to the store has ended. */
    void end(long number) {
        open.remove(number);
    }

    /** Passes each open transaction to the consumer, in the order of their numbers. */
    void forEachOpen(BiConsumer<Long, List<String>> consumer) {
        open.forEach(consumer);
    }

    /** Returns the number of transactions begun since the last call. */
    long getAndResetCount() {
        long count = lastNumber - lastCounted;
        lastCounted = lastNumber;
        return count;
    }
}
