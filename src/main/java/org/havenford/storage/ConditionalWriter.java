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
 * Commits transactions, and locks the keys that they decide on within this controller: from the sending of a transaction
 * until its outcome is known and our replica shows it, nothing else is decided on these keys.
 */
public final class ConditionalWriter {
    private static final Logger LOG = LoggerFactory.getLogger(ConditionalWriter.class);
    /** After a transaction that was not executed, or whose outcome is unknown. */
    private static final Duration RETRY = Duration.ofMillis(250);
    /** What the store calls malformed or too large would be so again: other work comes first. */
    private static final Duration REJECTED_RETRY = Duration.ofSeconds(20);
    /** How long keys stay locked for a replica that does not catch up. */
    private static final Duration REPLICA_PATIENCE = Duration.ofSeconds(1);

    /** Keys that stay locked until our replica has reached a revision, or until a time. */
    private record ReplicaLock(long revision, Instant until, Set<String> keys) {}

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreReplica replica;
    private final int nextValueBytes;
    private final Runnable wake;
    private final Set<String> locked = new HashSet<>();
    private final List<ReplicaLock> replicaLocks = new ArrayList<>();
    private boolean limitsLowered;

    /**
     * A writer over one replica.
     *
     * @param nextValueBytes the limit to come of the size of a value, in bytes
     * @param wake asks for another round once keys are free again
     */
    public ConditionalWriter(
            EventLoop loop, StoreClient store, StoreReplica replica, int nextValueBytes, Runnable wake) {
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.nextValueBytes = nextValueBytes;
        this.wake = wake;
    }

    /** Whether an unfinished transaction, or one that the replica has not caught up with, touches the key. */
    public boolean isLocked(String key) {
        return locked.contains(key);
    }

    /**
     * Whether the store has refused a value larger than its limit to come. The limits fall only after the upgrade of
     * all controllers, so from then on all of them read what this version writes.
     */
    public boolean limitsLowered() {
        return limitsLowered;
    }

    /** Unlocks what was locked until our replica has caught up. */
    public void unlockKeysCaughtUp(Instant now) {
        replicaLocks.removeIf(lock -> {
            boolean over = replica.revision() >= lock.revision() || now.isAfter(lock.until());
            if (over) {
                locked.removeAll(lock.keys());
            }
            return over;
        });
    }

    /** Commits a transaction and keeps its keys locked until the replica has caught up with the outcome. */
    public void commit(Transaction transaction, CallPriority priority, Collection<String> locks, Runnable onSuccess) {
        commit(transaction, priority, locks, onSuccess, result -> {});
    }

    /**
     * Commits a transaction and keeps its keys locked until the replica has caught up with the outcome.
     *
     * @param onSuccess run before our replica shows the transaction
     * @param afterwards told every outcome; a good one when our replica shows it
     */
    public void commit(
            Transaction transaction,
            CallPriority priority,
            Collection<String> locks,
            Runnable onSuccess,
            Consumer<StoreResult> afterwards) {
        locked.addAll(locks);
        store.commit(transaction, priority, () -> isCurrent(transaction), result -> {
            if (result.ok()) {
                onSuccess.run();
                replica.applyCommitted(transaction, result.revision());
                afterwards.accept(result);
                unlock(locks);
            } else {
                afterwards.accept(result);
                unlockAfterFailure(transaction, result, locks);
            }
        });
    }

    private void unlockAfterFailure(Transaction transaction, StoreResult result, Collection<String> locks) {
        switch (result.outcome()) {
            case CONFLICT -> lockUntilCaughtUp(result, locks);
            case STALE -> unlock(locks);
            case REJECTED -> {
                boolean shorterFormHelps = !limitsLowered && largestValueBytes(transaction) > nextValueBytes;
                limitsLowered |= shorterFormHelps;
                loop.after(shorterFormHelps ? RETRY : REJECTED_RETRY, () -> unlock(locks));
            }
            default -> loop.after(RETRY, () -> unlock(locks));
        }
    }

    /** Whether our replica still holds what the transaction was decided on; what others have changed would fail it. */
    private boolean isCurrent(Transaction transaction) {
        for (Transaction.Condition condition : transaction.conditions()) {
            String key = condition.key();
            if (key.startsWith(Keys.REPLICATED) && replica.modRevision(key) != condition.modRevision()) {
                return false;
            }
        }
        return true;
    }

    private void unlock(Collection<String> locks) {
        locked.removeAll(locks);
        wake.run();
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

    /** Our replica lacks what made the conflict. Until the watch has brought it, a new decision would only fail again. */
    private void lockUntilCaughtUp(StoreResult result, Collection<String> locks) {
        Set<String> keys = new HashSet<>(locks);
        try {
            keys.addAll(result.conflictingKeys());
        } catch (MalformedMessageException e) {
            LOG.warn("cannot read conflicting keys: error={}", e.getMessage());
        }
        keys.removeIf(key -> !locks.contains(key) && locked.contains(key));
        locked.addAll(keys);
        replicaLocks.add(new ReplicaLock(result.revision(), loop.now().plus(REPLICA_PATIENCE), keys));
    }
}
