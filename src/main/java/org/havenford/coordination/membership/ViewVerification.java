package org.havenford.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;
import org.havenford.transport.EventLoop;

/**
 * Establishes how recent the replica is. Compares the mod revision of the view in the store with that of the current
 * view. A comparison that finds them equal takes effect once the replica has reached the store revision of the
 * comparison.
 */
final class ViewVerification {
    /**
     * A comparison that found the current view in the store.
     *
     * @param sentAt when the comparison was sent
     * @param storeRevision the store revision at which the comparison was executed
     */
    private record Comparison(Instant sentAt, long storeRevision) {}

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreReplica replica;
    private final CurrentView currentView;

    /** Successful comparisons whose store revision the replica has not reached yet, oldest first. */
    private final ArrayDeque<Comparison> pendingComparisons = new ArrayDeque<>();

    /** When the latest comparison that has taken effect was sent; null if there is none. */
    private Instant verifiedAt;
    /** End of the last pause of this process, or null; comparisons sent before it are ignored. */
    private Instant lastPauseEnd;

    ViewVerification(EventLoop loop, StoreClient store, StoreReplica replica, CurrentView currentView) {
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.currentView = currentView;
    }

    /** Discards the comparisons of the previous view; the new view has not been verified yet. */
    void viewChanged() {
        discardComparisons();
    }

    /** Discards all comparisons sent before the end of a pause of this process. */
    void processPaused(Instant pauseEnd) {
        discardComparisons();
        lastPauseEnd = pauseEnd;
    }

    private void discardComparisons() {
        pendingComparisons.clear();
        verifiedAt = null;
    }

    /** Compares the current view with the store. Does nothing if no view is stored. */
    void compareWithStore() {
        if (!currentView.isStored()) {
            return;
        }
        Instant sentAt = loop.now();
        long modRevision = currentView.modRevision();
        Transaction comparison = new Transaction().requireRevision(Keys.VIEW, modRevision);
        store.commit(comparison, CallPriority.LEASE, result -> {
            if (result.ok() && modRevision == currentView.modRevision() && isLatest(sentAt)) {
                pendingComparisons.add(new Comparison(sentAt, result.revision()));
            }
        });
    }

    /**
     * Returns whether a comparison was sent after the last pause and after every other successful comparison. Responses
     * may arrive out of order, and an older comparison proves nothing more than a later one.
     */
    private boolean isLatest(Instant sentAt) {
        boolean sentSincePause = lastPauseEnd == null || !sentAt.isBefore(lastPauseEnd);
        boolean laterThanPending = pendingComparisons.isEmpty()
                || pendingComparisons.peekLast().sentAt().isBefore(sentAt);
        boolean laterThanVerified = verifiedAt == null || verifiedAt.isBefore(sentAt);
        return sentSincePause && laterThanPending && laterThanVerified;
    }

    /**
     * Returns whether the replica is guaranteed to contain everything committed up to {@code age} before {@code now}.
     */
    boolean isReplicaFresherThan(Duration age, Instant now) {
        applyReachedComparisons();
        return verifiedAt != null && now.isBefore(LeaseClock.earliestExpiry(verifiedAt, age));
    }

    /** Returns how long ago the replica is known to have been complete, or null if that is unknown. */
    Duration replicaAge(Instant now) {
        applyReachedComparisons();
        return verifiedAt == null ? null : Duration.between(verifiedAt, now);
    }

    private void applyReachedComparisons() {
        while (!pendingComparisons.isEmpty() && pendingComparisons.peek().storeRevision() <= replica.revision()) {
            verifiedAt = pendingComparisons.poll().sentAt();
        }
    }
}
