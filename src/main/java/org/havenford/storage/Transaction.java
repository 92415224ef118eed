package org.havenford.storage;

import com.google.gson.JsonElement;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;

/** Atomic compare-and-swap over several keys: if all conditions hold, all operations are executed, otherwise none. */
public final class Transaction {
    /** A condition that the key has this mod revision; 0 means that the key does not exist. */
    public record Condition(String key, long modRevision) {}

    /** A change of one key. */
    public sealed interface Operation permits Put, Delete {
        /** Returns the key that is changed. */
        String key();

        /** Returns the value that the key has afterwards, or null if the key is deleted. */
        JsonElement valueOrNull();
    }

    /** An operation that sets a key and attaches it to the lease, if any; the key is deleted when the lease ends. */
    public record Put(String key, JsonElement value, OptionalLong leaseId) implements Operation {
        @Override
        public JsonElement valueOrNull() {
            return value;
        }
    }

    /** An operation that deletes a key. */
    public record Delete(String key) implements Operation {
        @Override
        public JsonElement valueOrNull() {
            return null;
        }
    }

    private final List<Condition> conditions = new ArrayList<>();
    private final List<Operation> operations = new ArrayList<>();
    private final List<String> changedKeys = new ArrayList<>();
    /** Size of the first {@link #measuredConditions} conditions and {@link #measuredOperations} operations. */
    private int measuredBytes;

    private int measuredConditions;
    private int measuredOperations;

    /** Adds the condition that the key has this mod revision; 0 means that the key does not exist. */
    public Transaction requireRevision(String key, long modRevision) {
        conditions.add(new Condition(key, modRevision));
        return this;
    }

    /** Adds an operation that sets a key and detaches it from any lease. */
    public Transaction put(String key, JsonElement value) {
        return add(new Put(key, value, OptionalLong.empty()));
    }

    /** Adds an operation that sets a key and attaches it to a lease. */
    public Transaction put(String key, JsonElement value, long leaseId) {
        return add(new Put(key, value, OptionalLong.of(leaseId)));
    }

    /** Adds an operation that deletes a key. */
    public Transaction delete(String key) {
        return add(new Delete(key));
    }

    /**
     * Adds the conditions and operations of {@code part} if the transaction then keeps to the limits.
     *
     * @return whether they were added
     */
    public boolean addIfAllowed(Transaction part, TransactionLimits limits) {
        boolean allowed = operationCount() + part.operationCount() <= limits.maxOperations()
                && conditionCount() + part.conditionCount() <= limits.maxConditions()
                && encodedBytes() + part.encodedBytes() <= limits.maxBytes();
        if (allowed) {
            addAll(part);
        }
        return allowed;
    }

    /** Adds the conditions and operations of {@code part}. */
    public Transaction addAll(Transaction part) {
        conditions.addAll(part.conditions);
        part.operations.forEach(this::add);
        return this;
    }

    private Transaction add(Operation operation) {
        operations.add(operation);
        changedKeys.add(operation.key());
        return this;
    }

    /** Returns the conditions in the order in which they were added. */
    public List<Condition> conditions() {
        return Collections.unmodifiableList(conditions);
    }

    /** Returns the operations in the order in which they were added. */
    public List<Operation> operations() {
        return Collections.unmodifiableList(operations);
    }

    /** Returns the keys that are changed, in the order of the operations. */
    public List<String> changedKeys() {
        return Collections.unmodifiableList(changedKeys);
    }

    /** Returns the number of conditions. */
    public int conditionCount() {
        return conditions.size();
    }

    /** Returns the size of the request that commits this transaction, in bytes. */
    public int encodedBytes() {
        for (; measuredConditions < conditions.size(); measuredConditions++) {
            measuredBytes += StoreWireCodec.encodedBytes(conditions.get(measuredConditions));
        }
        for (; measuredOperations < operations.size(); measuredOperations++) {
            measuredBytes += StoreWireCodec.encodedBytes(operations.get(measuredOperations));
        }
        return StoreWireCodec.EMPTY_TRANSACTION_BYTES + measuredBytes;
    }

    /** Returns the number of operations. */
    public int operationCount() {
        return operations.size();
    }
}
