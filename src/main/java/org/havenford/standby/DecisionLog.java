package org.havenford.standby;

import java.util.List;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** This controller's decisions, numbered in the order in which they are sent to the state service. */
final class DecisionLog {
    private final TreeMap<Long, List<String>> open = new TreeMap<>();
    private long last;
    private long countedBefore;

    /** A transaction on these keys is about to be sent; returns its number. */
    long begin(List<String> keys) {
        open.put(++last, keys);
        return last;
    }

    /** The outcome of a transaction was told to this controller. */
    void end(long number) {
        open.remove(number);
    }

    /** Goes through the decisions whose outcome has not been told, in their order. */
    void forEachOpen(BiConsumer<Long, List<String>> consumer) {
        open.forEach(consumer);
    }

    /** Decisions since the last call. */
    long takeCount() {
        long count = last - countedBefore;
        countedBefore = last;
        return count;
    }
}
