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
 * Proves how recent the replica is: compares the mod revision of the view in the store with the one held here, and counts
 * a comparison that agrees once the replica has reached the store revision at which it was made.
 */
final class ViewVerification {
    /** A comparison, sent at this time, that found our view in the store at this store revision. */
    private record Comparison(Instant sentAt, long storeRevision) {}

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreReplica replica;
    private final CurrentView currentView;

    /** Comparisons that agreed, and whose store revision the replica has yet to reach; the oldest first. */
    private final ArrayDeque<Comparison> pendingComparisons = new ArrayDeque<>();

    /** When the latest comparison was sent that the replica has reached; null if there is none. */
    private Instant verifiedAt;
    /** When this process last went on after a pause, null if it never paused; no older comparison counts. */
    private Instant lastPauseEnd;

    ViewVerification(EventLoop loop, StoreClient store, StoreReplica replica, CurrentView currentView) {
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.currentView = currentView;
    }

    /** Forgets the comparisons of the view before; the view in force has to be compared anew. */
    void viewChanged() {
        forgetComparisons();
    }

    /** This process was paused: only comparisons that are sent from now on count. */
    void processPaused(Instant pauseEnd) {
        forgetComparisons();
        lastPauseEnd = pauseEnd;
    }

    private void forgetComparisons() {
        pendingComparisons.clear();
        verifiedAt = null;
    }

    /** Compares the view with the store, unless no view is stored. */
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

    /** Answers may overtake each other; of an older comparison nothing is learnt then. */
    private boolean isLatest(Instant sentAt) {
        boolean sentSincePause = lastPauseEnd == null || !sentAt.isBefore(lastPauseEnd);
        boolean laterThanPending = pendingComparisons.isEmpty()
                || pendingComparisons.peekLast().sentAt().isBefore(sentAt);
        boolean laterThanVerified = verifiedAt == null || verifiedAt.isBefore(sentAt);
        return sentSincePause && laterThanPending && laterThanVerified;
    }

    /** Whether the replica is certain at a time to hold all that was committed up to {@code age} before it. */
    boolean isFresherThan(Duration age, Instant now) {
        while (!pendingComparisons.isEmpty() && pendingComparisons.peek().storeRevision() <= replica.revision()) {
            verifiedAt = pendingComparisons.poll().sentAt();
        }
        return verifiedAt != null && now.isBefore(LeaseClock.certainUntil(verifiedAt, age));
    }
}
