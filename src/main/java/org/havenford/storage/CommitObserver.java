package org.havenford.storage;

import java.util.List;

/** Observer of the transactions that change keys, called before each is sent and when its outcome is known. */
public interface CommitObserver {
    /** Called before a transaction is queued for sending; returns the number to pass to {@link #commitFinished}. */
    long commitStarted(List<String> keys);

    /** Called with the outcome of a transaction; {@code revision} is 0 unless the transaction was committed. */
    void commitFinished(long number, StoreOutcome outcome, long revision);
}
