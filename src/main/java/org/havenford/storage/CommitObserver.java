package org.havenford.storage;

import java.util.List;

/** Told of every transaction that changes something, before it is sent and when its outcome is known. */
public interface CommitObserver {
    /** A transaction is about to be sent; returns the number under which its outcome will be told. */
    long committing(List<String> keys);

    /** The outcome of a transaction; the revision is 0 unless it was committed. */
    void finished(long number, StoreOutcome outcome, long revision);
}
