package org.havenford.storage;

import com.google.gson.JsonElement;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.records.Keys;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits transactions, and locks the keys that they concern within this controller from the submission of a
 * transaction until its outcome is known and visible in the replica. Callers make no other decision on a locked key.
 */
public final class ConditionalWriter {
    private static final Logger LOG = LoggerFactory.getLogger(ConditionalWriter.class);
    /** Delay until keys are unlocked after a transaction that was not executed, or whose outcome is unknown. */
    private static final Duration UNLOCK_DELAY = Duration.ofMillis(250);
    /**
     * Delay until keys are unlocked after the store rejected a transaction and the next one cannot be smaller. A
     * repetition would be rejected as well, so other work goes first.
     */
    private static final Duration REJECTED_UNLOCK_DELAY = Duration.ofSeconds(20);
    /** Longest time for which keys stay locked while the replica has not reached the revision of a conflict. */
    private static final Duration REPLICA_LOCK_TIMEOUT = Duration.ofSeconds(1);

    /** Keys that stay locked until the replica has reached a revision, or until a time on the monotonic clock. */
    private record ReplicaLock(long revision, Instant until, Set<String> keys) {}

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreReplica replica;
    private final int nextValueBytes;
    private final TransactionLimits transactionLimits;
    private final Runnable requestRound;
    private final Set<String> lockedKeys = new HashSet<>();
    private final List<ReplicaLock> replicaLocks = new ArrayList<>();
    private boolean limitsLowered;

    /**
     * Creates a writer that works with one replica.
     *
     * @param nextValueBytes the announced future limit of the size of a value, in bytes
     * @param transactionLimits the limits to lower when the store rejects a transaction
     * @param requestRound called to request another round when keys have been unlocked
     */
    public ConditionalWriter(
            EventLoop loop,
            StoreClient store,
            StoreReplica replica,
            int nextValueBytes,
            TransactionLimits transactionLimits,
            Runnable requestRound) {
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.nextValueBytes = nextValueBytes;
        this.transactionLimits = transactionLimits;
        this.requestRound = requestRound;
    }

    /**
     * Returns whether the key is locked by a transaction that is unfinished, or whose outcome is not visible in the
     * replica yet.
     */
    public boolean isLocked(String key) {
        return lockedKeys.contains(key);
    }

    /**
     * Returns whether the store has rejected a transaction with a value above the announced future limit. Limits
     * are lowered only after all controllers have been upgraded, so from then on all of them read the values that this
     * version writes.
     */
    public boolean limitsLowered() {
        return limitsLowered;
    }

    /** Unlocks the keys of past conflicts whose revision the replica has reached, or whose time is over. */
    public void unlockCaughtUpKeys(Instant now) {
        replicaLocks.removeIf(lock -> {
            boolean released = replica.revision() >= lock.revision() || now.isAfter(lock.until());
            if (released) {
                lockedKeys.removeAll(lock.keys());
            }
            return released;
        });
    }

    /** Commits a transaction and keeps its keys locked until the replica has caught up with the outcome. */
    public void commit(Transaction transaction, CallPriority priority, Collection<String> keys, Runnable onSuccess) {
        commit(transaction, priority, keys, onSuccess, result -> {});
    }

    /**
     * Commits a transaction and keeps its keys locked until the replica has caught up with the outcome.
     *
     * @param onSuccess called after a commit, before the transaction is applied to the replica
     * @param callback called with every outcome; after a commit, when the transaction has been applied to the replica
     */
    public void commit(
            Transaction transaction,
            CallPriority priority,
            Collection<String> keys,
            Runnable onSuccess,
            Consumer<StoreResult> callback) {
        lockedKeys.addAll(keys);
        store.commit(transaction, priority, () -> isCurrent(transaction), result -> {
            if (result.ok()) {
                onSuccess.run();
                replica.applyCommitted(transaction, result.revision());
                callback.accept(result);
                unlock(keys);
            } else {
                callback.accept(result);
                unlockAfterFailure(transaction, result, keys);
            }
        });
    }

    private void unlockAfterFailure(Transaction transaction, StoreResult result, Collection<String> keys) {
        switch (result.outcome()) {
            case CONFLICT -> lockUntilCaughtUp(result, keys);
            case STALE -> unlock(keys);
            case REJECTED -> {
                boolean valueTooLarge = largestValueBytes(transaction) > nextValueBytes;
                boolean compactFormMayFit = !limitsLowered && valueTooLarge;
                limitsLowered |= compactFormMayFit;
                boolean nextIsSmaller =
                        compactFormMayFit || (!valueTooLarge && transactionLimits.recordRejected(transaction));
                loop.after(nextIsSmaller ? UNLOCK_DELAY : REJECTED_UNLOCK_DELAY, () -> unlock(keys));
            }
            default -> loop.after(UNLOCK_DELAY, () -> unlock(keys));
        }
    }

    /**
     * Returns whether the replica still has the mod revisions that the transaction requires. If another controller has
     * changed one of these keys, the transaction would only fail.
     */
    private boolean isCurrent(Transaction transaction) {
        for (Transaction.Condition condition : transaction.conditions()) {
            String key = condition.key();
            if (key.startsWith(Keys.REPLICATED) && replica.modRevision(key) != condition.modRevision()) {
                return false;
            }
        }
        return true;
    }

    private void unlock(Collection<String> keys) {
        lockedKeys.removeAll(keys);
        requestRound.run();
    }

    private static int largestValueBytes(Transaction transaction) {
        int largest = 0;
        for (Transaction.Operation operation : transaction.operations()) {
            JsonElement value = operation.valueOrNull();
            if (value != null) {
                largest = Math.max(largest, value.toString().getBytes(StandardCharsets.UTF_8).length);
            }
        }
        return largest;
    }

    /**
     * Keeps the keys of a transaction, and the conflicting ones, locked until the watch has brought the change that
     * caused the conflict: a new decision on the outdated replica would only fail again. Conflicting keys that another
     * transaction has locked are left to it.
     */
    private void lockUntilCaughtUp(StoreResult result, Collection<String> keys) {
        Set<String> keysToLock = new HashSet<>(keys);
        try {
            keysToLock.addAll(result.conflictingKeys());
        } catch (MalformedMessageException e) {
            LOG.warn("cannot read conflicting keys: error={}", e.getMessage());
        }
        keysToLock.removeIf(key -> !keys.contains(key) && lockedKeys.contains(key));
        lockedKeys.addAll(keysToLock);
        replicaLocks.add(new ReplicaLock(result.revision(), loop.now().plus(REPLICA_LOCK_TIMEOUT), keysToLock));
    }
}
