package org.havenford.coordination;

import com.google.gson.JsonObject;
import org.havenford.bookkeeping.Job;
import org.havenford.bookkeeping.Ledger;

/** For tests that read the ledger and need not be told of its changes. */
final class QuietObserver implements Ledger.Observer {
    @Override
    public void viewChanged(JsonObject view, long stamp) {}

    @Override
    public void memberChanged(String node, JsonObject member, long stamp) {}

    @Override
    public void challengeChanged(String node, JsonObject challenge, long stamp) {}

    @Override
    public void machineChanged(String machine) {}

    @Override
    public void settled() {}

    @Override
    public void jobEnded(Job last) {}

    @Override
    public void loaded() {}
}
