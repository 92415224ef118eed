package org.havenford.storage;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The size limits that this controller keeps to when it builds a transaction with optional parts. If the store rejects a
 * transaction that kept to them, the limit on bytes is lowered, so that the same transaction is not built again.
 */
public final class TransactionLimits {
    private static final Logger LOG = LoggerFactory.getLogger(TransactionLimits.class);

    /** Limit of the store, less what is left for conditions that are added last. */
    private static final int MAX_BYTES = 60 * 1024;
    /** Conditions that the store accepts in a transaction, per operation that it accepts. */
    private static final int CONDITIONS_PER_OPERATION = 4;
    /** Largest part of a transaction that one value may take, so that other values fit beside it. */
    private static final double MAX_VALUE_FRACTION = 0.5;

    private final int maxOperations;
    private final int minBytes;
    private int maxBytes;

    /**
     * Creates the limits.
     *
     * @param valueBytes the store's limit of the size of a value, in bytes; the limit of a transaction is not lowered
     *     below it
     */
    public TransactionLimits(int maxOperations, int valueBytes) {
        this.maxOperations = maxOperations;
        this.minBytes = Math.min(valueBytes, MAX_BYTES);
        this.maxBytes = MAX_BYTES;
    }

    /** Returns the maximum number of operations. */
    public int maxOperations() {
        return maxOperations;
    }

    /** Returns the maximum number of conditions. */
    public int maxConditions() {
        return maxOperations * CONDITIONS_PER_OPERATION;
    }

    /** Returns the maximum size of the encoded transaction, in bytes. */
    public int maxBytes() {
        return maxBytes;
    }

    /** Returns the largest size at which a value still fits into every transaction that sets it, in bytes. */
    public int maxValueBytes() {
        return (int) Math.min(minBytes, MAX_BYTES * MAX_VALUE_FRACTION);
    }

    /**
     * Lowers the limit on bytes after the store has rejected a transaction.
     *
     * @return whether the limit was lowered, so that a smaller transaction may be built at once
     */
    public boolean recordRejected(Transaction rejected) {
        int bytes = rejected.encodedBytes();
        if (bytes <= minBytes || maxBytes == minBytes) {
            return false;
        }
        maxBytes = Math.max(minBytes, Math.min(maxBytes, bytes) / 2);
        LOG.warn(
                "the store rejected a transaction, following ones are kept smaller: operations={} conditions={} bytes={}"
                        + " maxBytes={}",
                rejected.operationCount(),
                rejected.conditionCount(),
                bytes,
                maxBytes);
        return true;
    }
}
